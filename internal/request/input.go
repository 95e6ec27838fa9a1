package request

import (
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

// Limits on what callers send.
const (
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 10 * time.Second
	// maxBodyMemory bounds the total size of the request bodies that an entry
	// holds in memory.
	maxBodyMemory = 64 << 20
	// maxIDBytes bounds the length of a caller's request ID.
	maxIDBytes = 64
)

// errBodyMemory is returned when the request bodies in memory exceed
// maxBodyMemory.
var errBodyMemory = errors.New("too many request bodies are held")

// requestID returns the caller's request ID if it is valid, or a new one.
func requestID(header http.Header) string {
	if id := header.Get(RequestIDHeader); validID(id) {
		return id
	}
	return rand.Text()
}

func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for i := range len(id) {
		if !validIDByte(id[i]) {
			return false
		}
	}
	return true
}

func validIDByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-' || b == '_' || b == '.'
}

// targetHeader returns the header for the target: the caller's header without
// hop-by-hop fields, and with the request's ID.
func targetHeader(header http.Header, id string) http.Header {
	outgoing := make(http.Header, len(header)+1)
	for name, values := range header {
		if !targetconn.HopByHop(name) {
			outgoing[name] = values
		}
	}
	for _, name := range targetconn.ConnectionFields(header) {
		delete(outgoing, name)
	}
	outgoing[RequestIDHeader] = []string{id}
	return outgoing
}

// readBody reads the whole body before the request asks for a slot, so that a
// slow sender does not occupy a slot.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, definition *fleet.Service) ([]byte, *refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > definition.MaxRequestBytes {
		return nil, &refusal{http.StatusRequestEntityTooLarge, reasonTooLarge, 0}
	}
	controller := http.NewResponseController(w)
	// The response writers of tests may not support deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	counted := &countedReader{handler: h, from: http.MaxBytesReader(w, r.Body, definition.MaxRequestBytes)}
	body, err := io.ReadAll(counted)
	if err != nil {
		h.bodyBytes.Add(-counted.read)
		return nil, bodyRefusal(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, reasonTooLarge, 0}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &refusal{http.StatusRequestTimeout, reasonSlowSender, 0}
	case errors.Is(err, errBodyMemory):
		return &refusal{http.StatusServiceUnavailable, reasonBodyMemory, minRetryAfterS}
	}
	return &refusal{http.StatusBadRequest, reasonMalformedBody, 0}
}

// countedReader counts the bytes of a request body against maxBodyMemory.
type countedReader struct {
	handler *Handler
	from    io.Reader
	read    int64
}

// Read implements io.Reader.
func (c *countedReader) Read(buffer []byte) (int, error) {
	n, err := c.from.Read(buffer)
	c.read += int64(n)
	if c.handler.bodyBytes.Add(int64(n)) > maxBodyMemory {
		return n, errBodyMemory
	}
	return n, err
}
