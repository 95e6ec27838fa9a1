// Package targetconn sends requests to targets over HTTP/1.1 and returns
// whole answers only. It counts the bytes that left, never sends a request
// twice, and discards a connection whose state is in doubt. The transport
// of net/http is not used because it repeats requests by itself.
package targetconn

import (
	"errors"
	"net/http"
	"time"
)

// Errors of an exchange.
var (
	// ErrAnswerTooLarge says that an answer is above the service's bound.
	ErrAnswerTooLarge = errors.New("the target's answer is too large")
	// ErrAnswerUnframed says that an answer has no length, so that a cut
	// could not be told from its end.
	ErrAnswerUnframed = errors.New("the target's answer has no length")
	// ErrCrossedAnswer says that an answer belongs to another request.
	ErrCrossedAnswer = errors.New("the target answered another request")
	// ErrUnresponsive says that the target made no progress within the bound.
	ErrUnresponsive = errors.New("the target made no progress")
	// ErrNoAnswer says that not one byte of an answer arrived.
	ErrNoAnswer = errors.New("no byte of an answer arrived")
	// ErrNotAdmitted says that the request was withdrawn before its first byte.
	ErrNotAdmitted = errors.New("withdrawn before the first byte")
	// ErrNoConnection says that all connections of the target are in use.
	ErrNoConnection = errors.New("all connections of the target are in use")
	// ErrMalformedRequest says that the request can't be written safely.
	ErrMalformedRequest = errors.New("malformed method or URI")
	// ErrSwitchedProtocols says that the target left HTTP.
	ErrSwitchedProtocols = errors.New("the target switched protocols")
)

// Bounds of connections.
const (
	// MaxIdle is the age at which an idle connection is closed.
	MaxIdle = 2 * time.Second
	// dialTimeout bounds a new connection to a target.
	dialTimeout = time.Second
	// maxAnswerHeaderBytes bounds the header of an answer.
	maxAnswerHeaderBytes = 64 << 10
	// maxInterim bounds the interim answers before the final one.
	maxInterim = 5
)

// Request is one attempt at one target.
type Request struct {
	Method string
	// URI is the path with the query.
	URI string
	// Header goes out without its hop-by-hop fields; it is not changed.
	Header http.Header
	Body   []byte
	// MaxAnswerBytes bounds the answer's body.
	MaxAnswerBytes int64
	// MaxIdle bounds the idle age of a connection that is used again; 0
	// asks for a new connection.
	MaxIdle time.Duration
	// ReadTimeout bounds the time without progress of the answer on a connection
	// that was used before, NewConnReadTimeout on a new one; 0 for no bound but
	// the context's deadline. A silent connection retires all connections
	// of the pool that were opened before.
	ReadTimeout, NewConnReadTimeout time.Duration
	// WaitPastReadTimeout keeps waiting for a silent answer until the deadline,
	// for work that must not be repeated.
	WaitPastReadTimeout bool
	// EchoID is the X-Request-Id that the answer must bear, "" for any.
	EchoID string
	// Admit is asked right before the first byte; nil admits.
	Admit func() bool
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Exchange says how an attempt went.
type Exchange struct {
	// Sent says that at least one byte of the request left.
	Sent bool
	// Reused says that the connection had served a request before.
	Reused bool
}

// Client makes the pools of connections to targets.
type Client struct{}

// NewClient returns a client.
func NewClient() *Client { return &Client{} }

// NewPool returns an empty pool of at most limit connections to an address.
func (c *Client) NewPool(address string, limit int) *Pool {
	return &Pool{address: address, limit: limit}
}
