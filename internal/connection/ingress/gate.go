package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Reasons why a request is refused.
var (
	// ErrTooLarge is returned for a body that exceeds its limit.
	ErrTooLarge = errors.New("the body is too large")
	// ErrBusy is returned if there is no memory left for a request.
	ErrBusy = errors.New("there is no memory for the request")
	// errEvicted ends a connection that has given way to another.
	errEvicted = errors.New("the connection was given up")
	errHead    = errors.New("the head is too large")
)

// Gate bounds what the HTTP servers of a process spend on requests. It is safe
// for concurrent use.
type Gate struct {
	budget   budget
	limits   atomic.Pointer[Limits]
	decoders chan struct{}
	now      func() time.Time
	log      *slog.Logger

	mu sync.Mutex
	// ended is signalled when a connection has ended.
	ended *sync.Cond
	conns map[*conn]struct{}
	// waiting holds the connections that wait for memory, and some that no longer do.
	waiting []*conn
	// held is the memory of all heads and bodies. evicted counts the evicted
	// connections that are still open, and evictedHeld what they hold.
	held, evictedHeld int64
	evicted           int
	tally             tally
}

// NewGate returns the gate of a process with a grant. Run enforces its
// timeouts.
func NewGate(g Grant, log *slog.Logger) *Gate {
	b := newBudget(g)
	gate := &Gate{budget: b, decoders: make(chan struct{}, b.decoders), now: time.Now, log: log, conns: map[*conn]struct{}{}, tally: tally{}}
	gate.ended = sync.NewCond(&gate.mu)
	gate.SetLimits(Limits{})
	log.Info("limits of connections set", "connections", b.connections, "request_bytes", b.requestBytes)
	return gate
}

// SetLimits sets the limits of each request from now on.
func (g *Gate) SetLimits(l Limits) {
	l = l.withDefaults()
	if old := g.limits.Swap(&l); old != nil && *old != l {
		g.log.Info("limits of requests changed", "max_header_bytes", l.MaxHeaderBytes, "max_body_bytes", l.MaxBodyBytes,
			"header_timeout_ms", l.HeaderTimeout.Milliseconds(), "idle_timeout_ms", l.IdleTimeout.Milliseconds())
	}
}

// Server returns a server whose requests are bounded by the gate. Its listener
// must come from Listener.
func (g *Gate) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: g.bound(handler), MaxHeaderBytes: largestHeaderBytes, ConnState: g.stateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}

// Listener returns a listener whose connections are bounded by the gate.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection that there is room for.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(accepted); c != nil {
			return c, nil
		}
		refuse(accepted, unavailableAnswer)
		_ = accepted.Close()
	}
}

// endingShare limits the evicted connections whose goroutines have not ended, as
// a share of all connections. Their descriptors are closed already.
const endingShare = 4

// admit registers a connection. If there is no room it evicts another; it
// returns nil if all others are being served.
func (g *Gate) admit(accepted net.Conn) *conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.conns)-g.evicted >= g.budget.connections {
		victim := g.slowest(func(*conn) bool { return true })
		if victim == nil {
			g.tally.refused(reasonConnections)
			return nil
		}
		g.evict(victim, reasonConnections)
	}
	for g.evicted > g.budget.connections/endingShare {
		g.ended.Wait()
	}
	now := g.now()
	c := &conn{Conn: accepted, gate: g, since: now, mark: now, last: now}
	g.conns[c] = struct{}{}
	openConnections.Set(float64(len(g.conns)))
	return c
}

// slowest returns the waiting and eligible connection that has made no progress
// for the longest time, or nil.
func (g *Gate) slowest(eligible func(*conn) bool) *conn {
	var victim *conn
	for c := range g.conns {
		if c.evicted || c.phase == serving || !eligible(c) {
			continue
		}
		if victim == nil || c.mark.Before(victim.mark) {
			victim = c
		}
	}
	return victim
}

// evict closes a connection. The goroutine that serves it then ends it.
func (g *Gate) evict(c *conn, why reason) {
	c.evicted = true
	g.evicted++
	g.evictedHeld += c.held
	g.tally.evicted(why)
	_ = c.Conn.Close()
	c.wakeUp()
}

// smallRequestBytes is the memory up to which a request is small: a head of 2
// KiB and a body of 16 KiB.
const smallRequestBytes = 2<<10*headWeight + 16<<10*bodyWeight

// acquire gives a connection memory for its request, for which others may be
// evicted. A small request does not wait until they have ended, as long as there
// is a reserve. It returns ErrBusy if this request has itself made the least
// progress or if all others are being served.
func (g *Gate) acquire(c *conn, n int64) error {
	for !c.evicted && g.held+n > g.budget.requestBytes {
		small := c.held+n <= smallRequestBytes
		withinReserve := small && g.held+n <= g.budget.requestBytes+g.budget.reserveBytes
		if g.held-g.evictedHeld+n > g.budget.requestBytes {
			victim := g.slowest(func(o *conn) bool { return o.held > 0 && !(small && o == c) })
			switch {
			case victim != nil && victim != c:
				g.evict(victim, reasonMemory)
				continue
			case victim == nil && withinReserve:
			case victim == nil && g.evictedHeld > 0:
				g.wait(c)
				continue
			default:
				g.tally.refused(reasonMemory)
				return ErrBusy
			}
		}
		if withinReserve {
			break
		}
		g.wait(c)
	}
	if c.evicted {
		return errEvicted
	}
	c.held += n
	g.held += n
	heldBytes.Set(float64(g.held))
	g.wakeNext()
	return nil
}

// wait waits until memory was released or the connection was evicted.
func (g *Gate) wait(c *conn) {
	wake := make(chan struct{})
	c.wake = wake
	if len(g.waiting) >= 2*g.budget.connections {
		g.waiting = slices.DeleteFunc(g.waiting, func(o *conn) bool { return o.wake == nil })
	}
	g.waiting = append(g.waiting, c)
	g.mu.Unlock()
	<-wake
	g.mu.Lock()
}

// wakeNext wakes the connection that has waited longest for memory, if there is
// some. Each that gets its memory wakes the next, so that a release does not wake
// hundreds in vain.
func (g *Gate) wakeNext() {
	for len(g.waiting) > 0 && g.held < g.budget.requestBytes {
		next := g.waiting[0]
		g.waiting = g.waiting[1:]
		if next.wakeUp() {
			return
		}
	}
}

// wakeUp ends the connection's wait for memory. It reports whether it waited.
func (c *conn) wakeUp() bool {
	if c.wake == nil {
		return false
	}
	close(c.wake)
	c.wake = nil
	return true
}

// release takes memory back from a connection.
func (g *Gate) release(c *conn, n int64) {
	c.held -= n
	g.held -= n
	if c.evicted {
		g.evictedHeld -= n
	}
	heldBytes.Set(float64(g.held))
	g.wakeNext()
}

// remove forgets a connection that has ended.
func (g *Gate) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.conns[c]; !open {
		return
	}
	g.release(c, c.held)
	delete(g.conns, c)
	if c.evicted {
		g.evicted--
	}
	c.evicted = true
	openConnections.Set(float64(len(g.conns)))
	g.ended.Broadcast()
}
