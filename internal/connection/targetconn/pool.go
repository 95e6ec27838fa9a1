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
	// idle is ordered by rising time of last use.
	idle []*conn
	// open counts idle connections and those in use.
	open int
	// generation rises when all connections opened so far are retired.
	generation uint64
	closed     bool
	sweeper    *time.Timer
}

// Address returns the target's address.
func (p *Pool) Address() string { return p.address }

// SetLimit changes the largest number of connections.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Close closes the idle connections; those in use are closed as they end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Retire()
}

// Retire makes sure that no connection opened so far serves another request.
func (p *Pool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = p.idle[:0]
}

// take returns a connection for one exchange, and whether it was used before.
func (p *Pool) take(ctx context.Context, maxIdle time.Duration) (*conn, bool, error) {
	if c := p.takeIdle(maxIdle); c != nil {
		return c, true, nil
	}
	generation, err := p.reserve()
	if err != nil {
		return nil, false, logging.Wrap(err, "connect", p.address)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.forget()
		return nil, false, logging.Wrap(err, "connect", p.address)
	}
	return newConn(raw, generation), false, nil
}

// takeIdle returns the connection that was used last, if it is young
// enough and the target has not ended it.
func (p *Pool) takeIdle(maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := time.Now().Add(-min(maxIdle, MaxIdle))
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		if c.lastUsed.Before(oldest) {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if c.quiet() {
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

// forget gives a reserved connection back that was not opened.
func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put takes a connection back after a whole exchange.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.generation != p.generation {
		p.closeLocked(c)
		return
	}
	c.lastUsed = time.Now()
	p.idle = append(p.idle, c)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(MaxIdle, p.sweep)
	}
}

// discard closes a connection whose state is in doubt.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *Pool) closeLocked(c *conn) {
	p.open--
	// The connection is not used again; an error of its end says nothing.
	_ = c.raw.Close()
}

// sweep closes connections that were idle too long.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := time.Now().Add(-MaxIdle)
	for len(p.idle) > 0 && p.idle[0].lastUsed.Before(oldest) {
		p.closeLocked(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	if len(p.idle) == 0 {
		p.sweeper = nil
		return
	}
	p.sweeper.Reset(MaxIdle / 2)
}
