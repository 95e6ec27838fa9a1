package ingress

import (
	"errors"
	"io"
	"net/http"
)

// firstBufferBytes is the size of the first buffer of a body.
const firstBufferBytes = 2 << 10

// MaxBodyBytes returns the limit of the body of a submission.
func MaxBodyBytes(r *http.Request) int64 {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		return c.gate.limits.Load().MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// ReadBody reads the body of a request of at most limit bytes, within the
// memory of the process. From its return the request counts as being served, and
// its memory stays counted until it has been answered. The error wraps ErrTooLarge
// or ErrBusy if the body was refused.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return readUnbounded(w, r, limit)
	}
	if r.ContentLength > limit {
		return nil, c.refuseBody(w, ErrTooLarge)
	}
	content, err := c.readBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	if err == nil && !c.change(serving) {
		err = errEvicted
	}
	if err != nil {
		return nil, c.refuseBody(w, err)
	}
	c.bodyRead = true
	return content, nil
}

// readUnbounded reads a body on a connection that no gate bounds.
func readUnbounded(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		err = ErrTooLarge
	}
	return content, err
}

// skipBody discards the body of a request whose handler does not read it. The server
// would discard it before the answer, when the request counts as being served and no
// timeout applies. It reports false if it has refused the request.
func (c *conn) skipBody(w http.ResponseWriter, r *http.Request) bool {
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, MaxBodyBytes(r)))
	if err != nil {
		if errors.Is(c.refuseBody(w, err), ErrTooLarge) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return false
		}
		panic(http.ErrAbortHandler)
	}
	c.bodyRead = true
	if !c.change(serving) {
		panic(http.ErrAbortHandler)
	}
	return true
}

// refuseBody makes the answer end the connection, so that the rest of the body
// is not awaited.
func (c *conn) refuseBody(w http.ResponseWriter, err error) error {
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		err = ErrTooLarge
	}
	if errors.Is(err, ErrTooLarge) {
		c.gate.mu.Lock()
		c.gate.tally.refused(reasonBodySize)
		c.gate.mu.Unlock()
	}
	w.Header().Set("Connection", "close")
	return err
}

// readBody reads into a buffer that grows as bytes arrive. length is -1 if the
// client did not announce it.
func (c *conn) readBody(from io.Reader, length, limit int64) ([]byte, error) {
	most := limit + 1
	if length >= 0 {
		most = length
	}
	var content []byte
	for {
		if len(content) == cap(content) && int64(len(content)) < most {
			grown, err := c.grow(content, most)
			if err != nil {
				return nil, err
			}
			content = grown
		}
		free := content[len(content):cap(content)]
		if len(free) == 0 {
			return content, nil
		}
		n, err := from.Read(free)
		content = content[:len(content)+n]
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns the content in a buffer of twice the size, at most most bytes.
func (c *conn) grow(content []byte, most int64) ([]byte, error) {
	size := min(max(2*int64(cap(content)), firstBufferBytes), most)
	c.gate.mu.Lock()
	err := c.gate.acquire(c, size*bodyWeight)
	c.gate.mu.Unlock()
	if err != nil {
		return nil, err
	}
	old := int64(cap(content))
	content = append(make([]byte, 0, size), content...)
	c.gate.mu.Lock()
	c.gate.release(c, old*bodyWeight)
	c.gate.mu.Unlock()
	return content, nil
}

// Decode calls a function that decodes a request's body. Few bodies are decoded
// at the same time, because the decoder needs memory beyond its result.
func Decode(r *http.Request, decode func()) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.gate.decoders <- struct{}{}
		defer func() { <-c.gate.decoders }()
	}
	decode()
}
