package ingress

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	// idle: no byte of a request has arrived.
	idle phase = iota
	// head: a part of a head has arrived.
	head
	// body: the body is incomplete.
	body
	// serving: the request is complete, and its answer has not been sent.
	serving
	// discarding: the answer has been sent, and the server discards what the
	// handler left of the body.
	discarding
)

// Weights of a request in the budget of memory.
const (
	// headWeight is the memory of a byte of a head: a header field of 8 bytes
	// takes an entry of a map and two strings.
	headWeight = 16
	// bodyWeight is the memory of a byte of a body's buffer: the decoded
	// submission takes about as much again.
	bodyWeight = 2
	// progressBytes is what a request must receive to count as making progress,
	// so that single bytes do not protect a connection from eviction.
	progressBytes = 4 << 10
	// readAhead is what the server may read beyond the end of a head.
	readAhead = 4 << 10
)

// writeTimeout bounds each write of an answer, so that a client that does not
// read gives its connection back.
const writeTimeout = 30 * time.Second

// conn is an accepted connection. The gate's mutex guards its fields.
type conn struct {
	net.Conn
	gate    *Gate
	evicted bool
	phase   phase
	// since is the begin of the phase, last the arrival of the last byte.
	since, last time.Time
	// mark is when the connection last made progress, gained what it has received
	// since.
	mark   time.Time
	gained int
	// headBytes is the length of the current head, held the memory of the request.
	headBytes int
	held      int64
	// bodyRead is set once ReadBody has read the whole body.
	bodyRead bool
	// wake is closed to end the wait for memory; nil while there is none.
	wake chan struct{}
	// refused is set after an answer to a head. The server's own answer to the
	// failed read is then dropped.
	refused atomic.Bool
}

type connKey struct{}

// Read reads from the client. It fails when the head exceeds its limit or the
// connection is evicted.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	refusal := c.received(n)
	switch refusal {
	case nil:
		return n, err
	case errHead:
		refuse(c.Conn, headAnswer)
	case ErrBusy:
		refuse(c.Conn, unavailableAnswer)
	}
	c.refused.Store(true)
	return 0, refusal
}

// received accounts for bytes from the client.
func (c *conn) received(n int) error {
	g := c.gate
	limit := g.limits.Load().MaxHeaderBytes + readAhead
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.evicted {
		return errEvicted
	}
	c.progress(n)
	if c.phase == idle {
		c.enter(head)
	}
	if c.phase != head {
		return nil
	}
	c.headBytes += n
	if c.headBytes > limit {
		g.tally.refused(reasonHeadSize)
		return errHead
	}
	return g.acquire(c, int64(n)*headWeight)
}

// progress records that bytes have arrived.
func (c *conn) progress(n int) {
	c.last = c.gate.now()
	c.gained += n
	if c.gained >= progressBytes {
		c.mark, c.gained = c.last, 0
	}
}

// enter begins a phase.
func (c *conn) enter(p phase) {
	now := c.gate.now()
	c.phase, c.since, c.last, c.mark, c.gained = p, now, now, now, 0
}

// Write writes to the client within the timeout.
func (c *conn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return len(p), nil
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}

// CloseWrite ends the answers, so that the client receives the last of them
// before the connection is closed.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.gate.remove(c)
	return c.Conn.Close()
}

// Answers to requests that never reach a handler.
const (
	headAnswer        = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	unavailableAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalTimeout    = 10 * time.Millisecond
)

// refuse answers a client whose connection is about to be closed. The answer
// fits the socket's buffer, and one that can't be sent is not missed.
func refuse(c net.Conn, answer string) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write([]byte(answer))
}

// stateChanged makes a connection idle again after a request.
func (g *Gate) stateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(c, c.held)
	c.headBytes, c.bodyRead = 0, false
	c.enter(idle)
}

// bound marks the connection of a request as being served, unless its body is
// still to be read by the handler, and aborts a request whose connection is
// already closed.
func (g *Gate) bound(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		defer c.release()
		if !c.begin(w, r) {
			return
		}
		handler.ServeHTTP(w, r)
		if r.ContentLength != 0 && !c.bodyRead {
			// An error means that the client is gone.
			_ = http.NewResponseController(w).Flush()
			c.change(discarding)
		}
	})
}

// begin enters the first phase of a request with a handler. It reports false if it
// has refused the request.
func (c *conn) begin(w http.ResponseWriter, r *http.Request) bool {
	next := serving
	if r.ContentLength != 0 {
		next = body
	}
	if !c.change(next) {
		panic(http.ErrAbortHandler)
	}
	c.releaseReadAhead(r)
	if next == serving || r.Method == http.MethodPost {
		return true
	}
	return c.skipBody(w, r)
}

// releaseReadAhead gives the memory back that was counted for what the server has read
// beyond the head of a request. It is in the server's own buffer.
func (c *conn) releaseReadAhead(r *http.Request) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if excess := c.held - int64(headSize(r))*headWeight; excess > 0 {
		c.gate.release(c, excess)
	}
}

// headSize returns about the length of the head of a request.
func headSize(r *http.Request) int {
	const lineBytes, fieldBytes = len("  HTTP/1.1\r\n"), len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + lineBytes + len("Host") + len(r.Host) + fieldBytes
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldBytes
		}
	}
	return size
}

// release gives the memory of an answered request back.
func (c *conn) release() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.release(c, c.held)
}

// change enters a phase. It reports false if the connection was evicted.
func (c *conn) change(p phase) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.enter(p)
	return !c.evicted
}
