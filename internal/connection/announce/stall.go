package announce

import (
	"sync"
	"time"
)

const (
	// maxPause is the time between two looks at the clock above which the
	// process counts as having been stopped.
	maxPause = 700 * time.Millisecond
	// holdTime is the time after such a pause in which announcements may
	// have waited in a socket since before it.
	holdTime = time.Second
)

// stallGuard tells whether an announcement may be older than it seems: a
// process that was stopped finds those that arrived meanwhile in its
// sockets, and their senders may be gone. It is safe for concurrent use.
type stallGuard struct {
	mu     sync.Mutex
	seenAt time.Time
	// holdUntil ends the time in which no announcement is trusted.
	holdUntil time.Time
}

// tick has to be called several times in each maxPause.
func (g *stallGuard) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.look(now)
	g.seenAt = now
}

// trusts says that no announcement read now can have waited for long.
func (g *stallGuard) trusts(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.look(now)
	return !now.Before(g.holdUntil)
}

// look begins a hold if the process was stopped since the last tick.
func (g *stallGuard) look(now time.Time) {
	if now.Sub(g.seenAt) > maxPause {
		g.holdUntil = now.Add(holdTime)
	}
}
