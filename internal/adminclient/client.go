// Package adminclient is a client of the operator API, which the processes serve
// over HTTPS.
package adminclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/state"
)

// callTimeout is the timeout of one call to one process.
const callTimeout = 10 * time.Second

const (
	// dialTimeout is the timeout of a new connection including its TLS handshake.
	dialTimeout = time.Second
	// responseHeaderTimeout is the timeout until the header of a response.
	responseHeaderTimeout = 5 * time.Second
)

// maxResponseBytes is the largest body that is read from a response.
const maxResponseBytes = 64 << 20

// ErrNotReachable is returned when no control process handled a call.
var ErrNotReachable = errors.New("no control process could be reached")

// StatusError is returned when a process answers with a status other than 2xx.
type StatusError struct {
	Status int
	// Fault is decoded from Body; it is empty if Body holds none.
	Fault   adminhttp.Fault
	Body    []byte
	Address string
}

// Error returns the address, the status and the fault.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d %s: %s", e.Address, e.Status, e.Fault.Code, e.Fault.Message)
}

// Client calls the control processes and finds the leader among them. It is safe
// for concurrent use.
type Client struct {
	control []string
	token   string
	http    *http.Client
}

// New returns a client for the control processes with these operator addresses.
func New(ring *keys.Ring, control []string, token string) *Client {
	transport := &http.Transport{ResponseHeaderTimeout: responseHeaderTimeout,
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			// The kernel still accepts connections for a frozen process. The
			// handshake then hangs and must not use up the time for the
			// other processes.
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			dialer := &tls.Dialer{Config: ring.ClientTLS()}
			return dialer.DialContext(ctx, network, address)
		}}
	return &Client{control: control, token: token, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Raw is a response that is not decoded.
type Raw struct {
	Body   []byte
	Header http.Header
}

// Do sends a call to the leader and decodes the JSON response into result, which is
// a pointer. A *Raw receives the response undecoded and nil discards it. A process
// that is not the leader answers with status 421 and may name the leader, which Do
// calls next. Any other refusal is returned as a *StatusError. If no process handles
// the call, the error wraps ErrNotReachable.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, result any) error {
	failures := []error{ErrNotReachable}
	tried := map[string]bool{}
	queue := append([]string{}, c.control...)
	for len(queue) > 0 {
		address := queue[0]
		queue = queue[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		err := c.DoAt(ctx, address, method, path, body, result)
		var statusErr *StatusError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &statusErr) && statusErr.Status == http.StatusMisdirectedRequest:
			if statusErr.Fault.Leader != "" {
				queue = append([]string{statusErr.Fault.Leader}, queue...)
			}
		case errors.As(err, &statusErr):
			return err
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// DoAt sends a call to the process at the address. The result is as for Do.
func (c *Client) DoAt(ctx context.Context, address, method, path string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make call: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call %s: %w", address, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read answer of %s: %w", address, err)
	}
	if resp.StatusCode/100 != 2 {
		statusErr := &StatusError{Status: resp.StatusCode, Body: data, Address: address}
		// The fault stays empty if the body is not one.
		_ = json.Unmarshal(data, &statusErr.Fault)
		return statusErr
	}
	if raw, ok := result.(*Raw); ok {
		*raw = Raw{Body: data, Header: resp.Header}
		return nil
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}

// Status returns the deployment's status.
func (c *Client) Status(ctx context.Context) (control.Status, error) {
	var status control.Status
	err := c.Do(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Submit submits a document that was made from the base version. The file is the
// name under which control reports problems.
func (c *Client) Submit(ctx context.Context, file string, base uint64, text []byte) (state.DocumentSubmissionAnswer, error) {
	var answer state.DocumentSubmissionAnswer
	query := url.Values{"base": {strconv.FormatUint(base, 10)}, "file": {file}}
	err := c.Do(ctx, http.MethodPost, "/v1/documents?"+query.Encode(), text, &answer)
	return answer, err
}

// ReadToken returns the token from the content of a token file.
func ReadToken(data []byte) string { return strings.TrimSpace(string(data)) }
