// Package targetconn sends requests to targets over HTTP/1.1 and returns only
// whole answers. It counts the bytes that were sent, never sends a request
// twice, and closes a connection whose state is uncertain. It does not use the
// transport of net/http, which retries requests by itself.
package targetconn

import (
	"errors"
	"net/http"
	"time"
)

// Errors of an exchange.
var (
	// ErrAnswerTooLarge is returned when the body of an answer exceeds
	// MaxAnswerBytes, or its header and body together exceed the sum of
	// maxAnswerHeaderBytes and MaxAnswerBytes.
	ErrAnswerTooLarge = errors.New("the target's answer is too large")
	// ErrAnswerUnframed is returned when an answer has no length. Only the end
	// of the connection would end it, so that a truncated answer could not be
	// detected.
	ErrAnswerUnframed = errors.New("the target's answer has no length")
	// ErrCrossedAnswer is returned when an answer belongs to another request.
	ErrCrossedAnswer = errors.New("the target answered another request")
	// ErrUnresponsive is returned when the target made no progress within the
	// read timeout.
	ErrUnresponsive = errors.New("the target made no progress")
	// ErrNoAnswer is returned when no byte of an answer arrived.
	ErrNoAnswer = errors.New("no byte of an answer arrived")
	// ErrNotAdmitted is returned when the context ended or Admit returned false
	// before the first byte was sent.
	ErrNotAdmitted = errors.New("withdrawn before the first byte")
	// ErrNoConnection is returned when all connections to the target are in use.
	ErrNoConnection = errors.New("all connections of the target are in use")
	// ErrMalformedRequest is returned when the method or the URI would break the
	// request line.
	ErrMalformedRequest = errors.New("malformed method or URI")
	// ErrSwitchedProtocols is returned when the target switched to another
	// protocol.
	ErrSwitchedProtocols = errors.New("the target switched protocols")
)

// Limits of connections.
const (
	// MaxIdle is the idle time after which a connection is closed.
	MaxIdle = 2 * time.Second
	// dialTimeout bounds the time to connect to a target.
	dialTimeout = time.Second
	// maxAnswerHeaderBytes bounds the header of an answer.
	maxAnswerHeaderBytes = 64 << 10
	// maxInterim bounds the number of interim (1xx) answers before the final one.
	maxInterim = 5
)

// Request is one request to a target.
type Request struct {
	Method string
	// URI is the path with the query.
	URI string
	// Header is sent without its hop-by-hop fields. It is not modified.
	Header http.Header
	Body   []byte
	// MaxAnswerBytes bounds the answer's body.
	MaxAnswerBytes int64
	// MaxIdle bounds the idle time of a connection that is reused; 0 requires a
	// new connection.
	MaxIdle time.Duration
	// ReadTimeout bounds each read of the answer on a reused connection, and
	// NewConnReadTimeout on a new one; 0 for no bound but the context's
	// deadline. A read that times out retires all connections of the pool that
	// were opened so far.
	ReadTimeout, NewConnReadTimeout time.Duration
	// WaitPastReadTimeout keeps waiting for the first byte of the answer until
	// the deadline, for work that must not be retried. The read timeout still
	// retires the older connections.
	WaitPastReadTimeout bool
	// EchoID is the X-Request-Id that the answer must have, or "" for any.
	EchoID string
	// Admit is called right before the first byte is sent. The request is not
	// sent if it returns false. A nil Admit admits all requests.
	Admit func() bool
}

// Answer is a whole answer of a target.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Exchange describes how a request was sent.
type Exchange struct {
	// Sent means that at least one byte of the request was sent.
	Sent bool
	// Reused means that the connection had served a request before.
	Reused bool
}

// Client creates connection pools.
type Client struct{}

// NewClient returns a client.
func NewClient() *Client { return &Client{} }

// NewPool returns an empty pool of at most limit connections to an address.
func (c *Client) NewPool(address string, limit int) *Pool {
	return &Pool{address: address, limit: limit}
}
