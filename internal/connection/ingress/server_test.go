package ingress

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startServer serves bodies by their length under the given limits.
func startServer(t *testing.T, l Limits) string {
	t.Helper()
	return startHandler(t, Grant{MemoryMB: 64}, l, serveLength)
}

// serveLength answers the length of a body.
func serveLength(w http.ResponseWriter, r *http.Request) {
	content, err := ReadBody(w, r, MaxBodyBytes(r))
	if errors.Is(err, ErrTooLarge) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	_, _ = fmt.Fprint(w, len(content), err)
}

// startHandler serves a handler under the given limits.
func startHandler(t *testing.T, granted Grant, l Limits, handler http.HandlerFunc) string {
	t.Helper()
	gate := NewGate(granted, slog.New(slog.DiscardHandler))
	gate.SetLimits(l)
	return startGate(t, gate, handler)
}

// startGate serves a handler behind a gate.
func startGate(t *testing.T, gate *Gate, handler http.HandlerFunc) string {
	t.Helper()
	go gate.Run(t.Context())
	server := gate.Server(handler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(gate.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// exchange sends pieces with a pause between them and returns the answer.
func exchange(t *testing.T, address string, pause time.Duration, pieces ...string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	for _, piece := range pieces {
		if _, err := conn.Write([]byte(piece)); err != nil {
			break
		}
		time.Sleep(pause)
	}
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

const closing = " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"

// Guards against a difference for a client within the limits.
func TestBodyInPiecesIsRead(t *testing.T) {
	address := startServer(t, Limits{})
	piece := strings.Repeat("a", 3000)
	answer := exchange(t, address, 200*time.Millisecond, "POST /"+closing+"Content-Length: 9000\r\n\r\n", piece, piece, piece)
	if !strings.HasSuffix(answer, "9000 <nil>") {
		t.Errorf("known length: %q", answer)
	}
	chunk := "bb8\r\n" + piece + "\r\n"
	answer = exchange(t, address, 200*time.Millisecond, "POST /"+closing+"Transfer-Encoding: chunked\r\n\r\n", chunk, chunk, "0\r\n\r\n")
	if !strings.Contains(answer, "6000 <nil>") {
		t.Errorf("chunked: %q", answer)
	}
}

// Guards against heads and bodies that are read beyond their limits.
func TestRequestsBeyondTheLimitsAreRefused(t *testing.T) {
	address := startServer(t, Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1000})
	for _, c := range []struct{ request, wanted string }{
		{"POST /" + closing + "Content-Length: 1000\r\n\r\n" + strings.Repeat("a", 1000), "1000 <nil>"},
		{"POST /" + closing + "Content-Length: 1001\r\n\r\n", " 413 "},
		{"POST /" + closing + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("a", 1001) + "\r\n", " 413 "},
		{"GET /" + closing + "X: " + strings.Repeat("a", 15<<10) + "\r\n\r\n", " 200 "},
		{"GET /" + closing + "X: " + strings.Repeat("a", 20<<10), " 431 "},
	} {
		if answer := exchange(t, address, 0, c.request); !strings.Contains(answer, c.wanted) {
			t.Errorf("%.60q: %.60q, wanted %q", c.request, answer, c.wanted)
		}
	}
}

// Guards against a head whose end is awaited for ever.
func TestIncompleteHeadEndsTheConnection(t *testing.T) {
	address := startServer(t, Limits{HeaderTimeout: 300 * time.Millisecond})
	if answer := exchange(t, address, 0, "GET / HTTP/1.1\r\nHost: h\r\n"); answer != "" {
		t.Errorf("%q", answer)
	}
}

// Guards against clients that are shut out for ever by connections whose GET or DELETE
// has a body that never comes: the server reads it before it answers, and the requests
// counted as being served meanwhile.
func TestBodiesThatNeverComeDoNotShutOthersOut(t *testing.T) {
	address := startHandler(t, Grant{MemoryMB: 1}, Limits{}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	for i := range minConnections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "%s / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n", []string{"GET", "DELETE"}[i%2])
	}
	time.Sleep(300 * time.Millisecond)
	if answer := exchange(t, address, 0, "DELETE /"+closing+"Content-Length: 10\r\n\r\n0123456789"); !strings.Contains(answer, "done") {
		t.Errorf("%q", answer)
	}
}

// Guards against a small request that may not use the reserve, since the start of its
// body, which the server reads together with the head, was counted as a head.
func TestStartOfABodyIsNotCountedAsHead(t *testing.T) {
	gate := NewGate(Grant{MemoryMB: 4}, slog.New(slog.DiscardHandler))
	server, client := net.Pipe()
	defer client.Close()
	large := gate.admit(server)
	large.enter(serving)
	gate.mu.Lock()
	if err := gate.acquire(large, gate.budget.requestBytes); err != nil {
		t.Error(err)
	}
	gate.mu.Unlock()
	address := startGate(t, gate, serveLength)
	answer := exchange(t, address, 0, "POST /"+closing+"Content-Length: 16000\r\n\r\n"+strings.Repeat("a", 16000))
	if !strings.HasSuffix(answer, "16000 <nil>") {
		t.Errorf("%.60q", answer)
	}
}
