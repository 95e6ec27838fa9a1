package targetconn

import (
	"context"
	"net"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
)

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	address string

	mu    sync.Mutex
	limit int
	// idle is ordered by the time of last use, the oldest first.
	idle []*conn
	// open counts the connections that are idle, in use or being opened.
	open int
	// generation increases when all connections opened so far are retired.
	generation uint64
	closed     bool
	sweepTimer *time.Timer
}

// Address returns the target's address.
func (p *Pool) Address() string { return p.address }

// SetLimit changes the largest number of connections.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Close closes the idle connections. Connections in use are closed at the end of
// their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Retire()
}

// Retire prevents all connections opened so far from being reused.
func (p *Pool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = p.idle[:0]
}

// acquire returns a connection for one exchange and reports whether it is a
// reused one.
func (p *Pool) acquire(ctx context.Context, maxIdle time.Duration) (*conn, bool, error) {
	if c := p.popIdle(maxIdle); c != nil {
		return c, true, nil
	}
	generation, err := p.reserve()
	if err != nil {
		return nil, false, logging.Wrap(err, "connect", p.address)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.cancelReservation()
		return nil, false, logging.Wrap(err, "connect", p.address)
	}
	return newConn(raw, generation), false, nil
}

// popIdle returns the most recently used idle connection that is still usable,
// or nil if there is none within maxIdle.
func (p *Pool) popIdle(maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := time.Now().Add(-min(maxIdle, MaxIdle))
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		if c.lastUsed.Before(oldest) {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if c.reusable() {
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// reserve counts a connection that is about to be opened.
func (p *Pool) reserve() (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit && len(p.idle) > 0 {
		p.closeLocked(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	if p.open >= p.limit {
		return 0, ErrNoConnection
	}
	p.open++
	return p.generation, nil
}

// cancelReservation undoes reserve for a connection that could not be opened.
func (p *Pool) cancelReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// release returns a connection to the pool after a complete exchange.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.generation != p.generation {
		p.closeLocked(c)
		return
	}
	c.lastUsed = time.Now()
	p.idle = append(p.idle, c)
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(MaxIdle, p.sweep)
	}
}

// discard closes a connection whose state is uncertain.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *Pool) closeLocked(c *conn) {
	p.open--
	// The connection is not used again, so an error of Close does not matter.
	_ = c.raw.Close()
}

// sweep closes the connections that have been idle for MaxIdle.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := time.Now().Add(-MaxIdle)
	for len(p.idle) > 0 && p.idle[0].lastUsed.Before(oldest) {
		p.closeLocked(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	if len(p.idle) == 0 {
		p.sweepTimer = nil
		return
	}
	p.sweepTimer.Reset(MaxIdle / 2)
}
