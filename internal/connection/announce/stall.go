package announce

import (
	"sync"
	"time"
)

const (
	// maxStall is the longest time between two clock readings that does not
	// count as a stall of the process.
	maxStall = 700 * time.Millisecond
	// distrustTime is the time after a stall during which received
	// announcements may have been waiting in a socket since the stall.
	distrustTime = time.Second
)

// stallGuard detects whether an announcement may be older than it seems. After
// the process was suspended, its sockets contain announcements that arrived in
// the meantime and whose senders may no longer exist. It is safe for concurrent
// use.
type stallGuard struct {
	mu       sync.Mutex
	lastTick time.Time
	// distrustUntil is the end of the time in which no announcement is trusted.
	distrustUntil time.Time
}

// tick records that the process is running. It must be called several times per
// maxStall.
func (g *stallGuard) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectStall(now)
	g.lastTick = now
}

// canTrust reports whether an announcement that is read now was sent recently.
func (g *stallGuard) canTrust(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectStall(now)
	return !now.Before(g.distrustUntil)
}

// detectStall sets distrustUntil if the process was suspended since the last
// tick.
func (g *stallGuard) detectStall(now time.Time) {
	if now.Sub(g.lastTick) > maxStall {
		g.distrustUntil = now.Add(distrustTime)
	}
}
