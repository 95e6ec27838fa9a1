package announce

import (
	"sync"
	"time"
)

const (
	// maxStall is the longest time between two clock readings that does not
	// count as a stall of the process.
	maxStall = 700 * time.Millisecond
	// distrustTime is the time after a stall during which a received
	// announcement may have been waiting in a socket since the stall, unless it
	// is known to have been sent later.
	distrustTime = time.Second
)

// stallGuard detects whether an announcement may be older than it seems. After
// the process was suspended, its sockets contain announcements that arrived in
// the meantime and whose senders may no longer exist. It is safe for concurrent
// use.
type stallGuard struct {
	mu       sync.Mutex
	lastTick time.Time
	// stallEnd is when the last stall was detected, distrustUntil the end of the
	// time in which only announcements that were sent later are trusted.
	stallEnd, distrustUntil time.Time
	// unreported is the duration of the last stall until it is reported.
	unreported time.Duration
}

// tick records that the process is running. It must be called several times per
// maxStall.
func (g *stallGuard) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectStall(now)
	if now.After(g.lastTick) {
		g.lastTick = now
	}
}

// canTrust reports whether an announcement that is read now was sent recently.
// It was not sent before sentAfter, which may be the zero time.
func (g *stallGuard) canTrust(now, sentAfter time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectStall(now)
	return !now.Before(g.distrustUntil) || sentAfter.After(g.stallEnd)
}

// detectStall records a stall if the process was suspended since the last tick.
// It counts as a tick then, since each stall ends once.
func (g *stallGuard) detectStall(now time.Time) {
	if now.Sub(g.lastTick) > maxStall {
		g.unreported = now.Sub(g.lastTick)
		g.stallEnd, g.distrustUntil = now, now.Add(distrustTime)
		g.lastTick = now
	}
}

// takeUnreported returns the duration of a stall that was not returned before,
// or 0.
func (g *stallGuard) takeUnreported() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	stall := g.unreported
	g.unreported = 0
	return stall
}
