package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// rawCloseDelay is the time for which a connection stays open after a raw
// response.
const rawCloseDelay = 300 * time.Millisecond

// Reply is the body of a target's response.
type Reply struct {
	VM      string `json:"vm"`
	Path    string `json:"path"`
	Method  string `json:"method"`
	Request string `json:"request"`
	// Run is the number of requests that the target has run so far, including
	// this one.
	Run int `json:"run"`
	// Bytes is the length of the request body.
	Bytes int `json:"bytes"`
}

// ServeHTTP runs a request and responds to it. These query parameters change
// the response:
//
//	sleep_ms=N        waits N milliseconds before the response
//	bytes=N           sends a body of N bytes
//	status=N          sets the status code
//	truncate=1        announces the whole body and sends only its first half
//	hang=1            never sends a response
//	cross=1           sends the ID of another request in X-Request-Id
//	close=1           closes the connection without a response
//	unframed=1        sends no Content-Length
//	twice=1           sends the response twice
//	only=VM           applies the other parameters on this VM only
//	other_sleep_ms=N  with only=VM: replaces sleep_ms on all other VMs
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	run := t.beginRun(id)
	defer t.endRun()
	query := r.URL.Query()
	if only := query.Get("only"); only != "" && only != t.config.VM {
		query = url.Values{"sleep_ms": query["other_sleep_ms"]}
	}
	if !sleepMS(r.Context(), query.Get("sleep_ms")) {
		return
	}
	if query.Get("hang") != "" {
		<-r.Context().Done()
		return
	}
	reply, err := json.Marshal(Reply{VM: t.config.VM, Path: r.URL.Path, Method: r.Method, Request: id, Run: run, Bytes: len(body)})
	if err != nil {
		panic(err)
	}
	respond(w, query, id, reply)
}

// respond sends the reply as the query parameters ask for it.
func respond(w http.ResponseWriter, query url.Values, id string, reply []byte) {
	if size, err := strconv.Atoi(query.Get("bytes")); err == nil {
		reply = bytes.Repeat([]byte("x"), size)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	if status, err := strconv.Atoi(query.Get("status")); err == nil {
		w.WriteHeader(status)
	}
	if query.Get("cross") != "" {
		w.Header().Set("X-Request-Id", "another-"+id)
	}
	if raw := rawResponse(query, w.Header(), reply); raw != nil {
		sendRaw(w, raw)
		return
	}
	if query.Get("truncate") != "" {
		reply = reply[:len(reply)/2]
	}
	// The entry may have closed the connection. The run counts in any case.
	_, _ = w.Write(reply)
}

// rawResponse returns the bytes of a response that a net/http server can't
// send, or nil if the query asks for none. An empty result means that the
// connection is closed without a response.
func rawResponse(query url.Values, header http.Header, reply []byte) []byte {
	var raw bytes.Buffer
	raw.WriteString("HTTP/1.1 200 OK\r\n")
	if query.Get("unframed") != "" {
		header.Del("Content-Length")
	}
	// Writes to a bytes.Buffer never fail.
	_ = header.Write(&raw)
	raw.WriteString("\r\n")
	raw.Write(reply)
	switch {
	case query.Get("close") != "":
		return []byte{}
	case query.Get("twice") != "":
		return bytes.Repeat(raw.Bytes(), 2)
	case query.Get("unframed") != "":
		return raw.Bytes()
	}
	return nil
}

// sendRaw takes over the connection, writes the bytes to it and closes it. It
// waits before it closes the connection, so that the bytes arrive first.
func sendRaw(w http.ResponseWriter, raw []byte) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	if len(raw) == 0 {
		return
	}
	// The entry may have closed the connection. The run counts in any case.
	_, _ = connection.Write(raw)
	time.Sleep(rawCloseDelay)
}

// sleepMS sleeps for the number of milliseconds in the text. It returns
// immediately if the text is not a number, and false if the context ended
// during the sleep.
func sleepMS(ctx context.Context, text string) bool {
	ms, err := strconv.Atoi(text)
	if err != nil {
		return true
	}
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	case <-ctx.Done():
		return false
	}
}
