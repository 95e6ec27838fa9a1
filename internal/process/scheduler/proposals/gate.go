// Package proposals keeps copies of a configuration that is being proposed out of the log.
package proposals

import "sync"

// Gate allows one proposal at a time for each version of the
// configuration. The zero value is ready for use. An operator that gets no answer sends a configuration again
// each second. Copies of a large one in the log would delay all later entries.
type Gate struct {
	mu sync.Mutex
	// running holds, by version, a channel that is closed when the proposal has
	// ended.
	running map[int64]chan struct{}
}

// Begin begins the proposal of a version and returns nil. If a proposal of the
// version is already running, it returns a channel that is closed at its end.
func (g *Gate) Begin(version int64) (running chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if running = g.running[version]; running != nil {
		return running
	}
	if g.running == nil {
		g.running = map[int64]chan struct{}{}
	}
	g.running[version] = make(chan struct{})
	return nil
}

// Finish ends the proposal of a version.
func (g *Gate) Finish(version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.running[version])
	delete(g.running, version)
}
