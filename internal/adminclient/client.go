// Package adminclient calls the operator API of the processes over HTTPS.
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

// callTimeout bounds one call to one process.
const callTimeout = 10 * time.Second

const (
	// dialTimeout bounds a new connection, with its handshake.
	dialTimeout = time.Second
	// answerTimeout bounds the time to an answer's header.
	answerTimeout = 5 * time.Second
)

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 64 << 20

// ErrNotReachable says that no control process gave an answer.
var ErrNotReachable = errors.New("no control process could be reached")

// StatusError is a refused call.
type StatusError struct {
	Status  int
	Fault   adminhttp.Fault
	Body    []byte
	Address string
}

// Error formats the refusal.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d %s: %s", e.Address, e.Status, e.Fault.Code, e.Fault.Message)
}

// Client calls the control processes, looking for the leader. It is safe
// for concurrent use.
type Client struct {
	control []string
	token   string
	http    *http.Client
}

// New returns a client for the operator addresses of the control processes.
func New(ring *keys.Ring, control []string, token string) *Client {
	transport := &http.Transport{ResponseHeaderTimeout: answerTimeout,
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			// A frozen process still takes connections; it must not use up
			// the time for the others.
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			dialer := &tls.Dialer{Config: ring.ClientTLS()}
			return dialer.DialContext(ctx, network, address)
		}}
	return &Client{control: control, token: token, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Raw is an answer that is not decoded.
type Raw struct {
	Body   []byte
	Header http.Header
}

// Do sends a call to the leader and decodes its answer into a pointer, or
// keeps it in *Raw as it is. A refusal is a *StatusError.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, into any) error {
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
		err := c.DoAt(ctx, address, method, path, body, into)
		var refused *StatusError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &refused) && refused.Status == http.StatusMisdirectedRequest:
			if refused.Fault.Leader != "" {
				queue = append([]string{refused.Fault.Leader}, queue...)
			}
		case errors.As(err, &refused):
			return err
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// DoAt sends a call to one process.
func (c *Client) DoAt(ctx context.Context, address, method, path string, body []byte, into any) error {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read answer of %s: %w", address, err)
	}
	if resp.StatusCode/100 != 2 {
		refused := &StatusError{Status: resp.StatusCode, Body: data, Address: address}
		// A body that is no fault leaves the fault empty.
		_ = json.Unmarshal(data, &refused.Fault)
		return refused
	}
	if raw, ok := into.(*Raw); ok {
		*raw = Raw{Body: data, Header: resp.Header}
		return nil
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}

// Status returns the deployment's status.
func (c *Client) Status(ctx context.Context) (control.Status, error) {
	var status control.Status
	err := c.Do(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Submit proposes a document made from the base version.
func (c *Client) Submit(ctx context.Context, file string, base uint64, text []byte) (state.DocumentSubmissionAnswer, error) {
	var answer state.DocumentSubmissionAnswer
	query := url.Values{"base": {strconv.FormatUint(base, 10)}, "file": {file}}
	err := c.Do(ctx, http.MethodPost, "/v1/documents?"+query.Encode(), text, &answer)
	return answer, err
}

// ReadToken reads a token file.
func ReadToken(data []byte) string { return strings.TrimSpace(string(data)) }
