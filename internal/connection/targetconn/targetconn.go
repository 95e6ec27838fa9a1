// Package targetconn sends requests to targets over HTTP and returns whole
// answers only.
package targetconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// ErrAnswerTooLarge says that a target's answer is above the service's bound.
var ErrAnswerTooLarge = errors.New("the target's answer is too large")

// dialTimeout bounds a new connection to a target.
const dialTimeout = time.Second

// Request is one attempt at one target.
type Request struct {
	Address string
	Method  string
	// URI is the path with the query.
	URI    string
	Header http.Header
	Body   []byte
	// MaxAnswerBytes bounds the answer's body.
	MaxAnswerBytes int64
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client holds the connections to all targets.
type Client struct{ transport *http.Transport }

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     2 * time.Second,
	}}
}

// Send makes one attempt. The second result says whether any byte of the
// request may have reached the target.
func (c *Client) Send(ctx context.Context, r Request) (*Answer, bool, error) {
	outgoing, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.URI, bytes.NewReader(r.Body))
	if err != nil {
		return nil, false, fmt.Errorf("make request: %w", err)
	}
	outgoing.Header = r.Header
	response, err := c.transport.RoundTrip(outgoing)
	if err != nil {
		var dial *net.OpError
		sent := !(errors.As(err, &dial) && dial.Op == "dial")
		return nil, sent, fmt.Errorf("exchange: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, r.MaxAnswerBytes+1))
	if err != nil {
		return nil, true, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(body)) > r.MaxAnswerBytes {
		return nil, true, ErrAnswerTooLarge
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, true, nil
}
