package targetconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"arbutusward.example/arbutusward/internal/process/logging"
)

// requestIDHeader identifies the request, in requests and in answers.
const requestIDHeader = "X-Request-Id"

// Send sends the request once and returns the answer. It never retries.
func (p *Pool) Send(ctx context.Context, r Request) (*Answer, Exchange, error) {
	if !wellFormed(r.Method) || !wellFormed(r.URI) {
		return nil, Exchange{}, logging.Wrap(ErrMalformedRequest, "write request", p.address)
	}
	c, reused, err := p.acquire(ctx, r.MaxIdle)
	if err != nil {
		return nil, Exchange{}, err
	}
	if !reused {
		r.ReadTimeout = r.NewConnReadTimeout
	}
	answer, keep, err := p.exchange(ctx, c, r)
	exchange := Exchange{Sent: c.written > 0, Reused: reused}
	if err != nil || !keep {
		p.discard(c)
	} else {
		p.release(c)
	}
	return answer, exchange, err
}

// exchange makes a round trip on a connection if the request is still admitted,
// and cancels it when the context ends. The second result reports whether the
// connection may be reused.
func (p *Pool) exchange(ctx context.Context, c *conn, r Request) (*Answer, bool, error) {
	deadline, _ := ctx.Deadline()
	if err := c.prepare(deadline, maxAnswerHeaderBytes+r.MaxAnswerBytes+1); err != nil {
		return nil, false, logging.Wrap(err, "prepare connection", p.address)
	}
	if ctx.Err() != nil || (r.Admit != nil && !r.Admit()) {
		return nil, false, logging.Wrap(ErrNotAdmitted, "write request", p.address)
	}
	// Closing the connection ends a cancelled exchange.
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	answer, keep, err := p.roundTrip(c, r)
	if !stop() {
		keep = false
	}
	if err != nil && ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	return answer, keep, err
}

// roundTrip writes the request and reads its answer. The second result reports
// whether the connection may be reused.
func (p *Pool) roundTrip(c *conn, r Request) (*Answer, bool, error) {
	if err := writeRequest(c.writer, p.address, r); err != nil {
		return nil, false, logging.Wrap(errors.Join(ErrNoAnswer, err), "write request", p.address)
	}
	if err := p.awaitFirstByte(c, r); err != nil {
		return nil, false, logging.Wrap(errors.Join(ErrNoAnswer, err), "await answer", p.address)
	}
	answer, keep, err := readAnswer(c, r)
	if isTimeout(err) && c.readTimeout > 0 {
		p.Retire()
		err = errors.Join(ErrUnresponsive, err)
	}
	if err != nil {
		return nil, false, logging.Wrap(err, "read answer", p.address)
	}
	if r.EchoID != "" && answer.Header.Get(requestIDHeader) != r.EchoID {
		return nil, false, logging.Wrap(ErrCrossedAnswer, "check answer", p.address)
	}
	return answer, keep && c.readBufferEmpty(), nil
}

// awaitFirstByte waits for the first byte of the answer. After the read timeout
// it retires all connections opened so far, because something between the two
// ends may have dropped them, and then either fails or, with
// WaitPastReadTimeout, waits until the deadline.
func (p *Pool) awaitFirstByte(c *conn, r Request) error {
	c.readTimeout = r.ReadTimeout
	_, err := c.reader.Peek(1)
	if !isTimeout(err) || r.ReadTimeout == 0 {
		return err
	}
	p.Retire()
	if !r.WaitPastReadTimeout {
		return errors.Join(ErrUnresponsive, err)
	}
	c.readTimeout = 0
	_, err = c.reader.Peek(1)
	return err
}

// readAnswer reads the whole final answer. The second result reports whether the
// target keeps the connection open.
func readAnswer(c *conn, r Request) (*Answer, bool, error) {
	response, err := readHeader(c, r.Method)
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	if response.ContentLength > r.MaxAnswerBytes && r.Method != http.MethodHead {
		return nil, false, ErrAnswerTooLarge
	}
	if hasNoLength(response, r.Method) {
		return nil, false, ErrAnswerUnframed
	}
	body, err := readBody(response, r)
	if err != nil {
		return nil, false, err
	}
	header := response.Header
	if r.Method == http.MethodHead && response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	return &Answer{Status: response.StatusCode, Header: header, Body: body}, !response.Close, nil
}

// readHeader reads the header of the final answer and skips interim answers.
func readHeader(c *conn, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxInterim {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, fmt.Errorf("header: %w", err)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrSwitchedProtocols
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// hasNoLength reports whether only the end of the connection ends the body.
func hasNoLength(response *http.Response, method string) bool {
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return false
	}
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

func readBody(response *http.Response, r Request) ([]byte, error) {
	if r.Method == http.MethodHead {
		return nil, nil
	}
	if length := response.ContentLength; length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, r.MaxAnswerBytes+1))
	if err == nil && int64(len(body)) > r.MaxAnswerBytes {
		return nil, ErrAnswerTooLarge
	}
	return body, err
}
