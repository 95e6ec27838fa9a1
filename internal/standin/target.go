package standin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
)

// announceTimeout is the timeout of one announcement.
const announceTimeout = 500 * time.Millisecond

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

// TargetConfig describes one target.
type TargetConfig struct {
	VM       string
	Token    string
	Services []string
	// Entries lists the announcement addresses of the zone's entries.
	Entries []string
	// Advertise is the address that is announced. If it is empty, the listen
	// address is announced.
	Advertise string
}

// Target is one target process on a simulated VM. It is safe for concurrent use.
type Target struct {
	config      TargetConfig
	listener    net.Listener
	server      *http.Server
	client      *http.Client
	incarnation string
	startedMS   int64
	cancel      context.CancelFunc
	announcers  sync.WaitGroup

	mu      sync.Mutex
	leaving bool
	runs    []string
	// inFlight is the number of running requests, and peak is its maximum so
	// far.
	inFlight, peak int
}

// StartTarget starts a target on a free port of the loopback address. The
// target announces itself to the entries until it is stopped.
func StartTarget(config TargetConfig) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen as target %s: %w", config.VM, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{config: config, listener: listener, incarnation: rand.Text(), startedMS: time.Now().UnixMilli(), cancel: cancel,
		client: &http.Client{Timeout: announceTimeout}}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		if err := t.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("simulated target %s: %v", config.VM, err))
		}
	}()
	for _, entry := range config.Entries {
		t.announcers.Add(1)
		go t.announceTo(ctx, entry)
	}
	return t, nil
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Runs returns the IDs of the requests that the target has run, in the order
// in which they started.
func (t *Target) Runs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string{}, t.runs...)
}

// Peak returns the largest number of requests that have run at the same time.
func (t *Target) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

// InFlight returns the number of requests that are running now.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// SetLeaving sets whether the next announcements say that the target is
// leaving.
func (t *Target) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}

// Kill stops the target immediately and cuts its connections, as the failure of
// its VM does.
func (t *Target) Kill() {
	t.cancel()
	// Close cuts all connections, and an error from it has no consequence.
	_ = t.server.Close()
	t.announcers.Wait()
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

// StopAnnouncing stops the announcements. The target's leases expire, while it
// continues to serve requests.
func (t *Target) StopAnnouncing() {
	t.cancel()
	t.announcers.Wait()
}

// beginRun records the start of a request and returns the number of requests
// that have started, including this one.
func (t *Target) beginRun(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, id)
	t.inFlight++
	t.peak = max(t.peak, t.inFlight)
	return len(t.runs)
}

// endRun records the end of a request.
func (t *Target) endRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
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

// announceTo announces the target to one entry, at the interval that the entry
// asks for, until the context ends.
func (t *Target) announceTo(ctx context.Context, entry string) {
	defer t.announcers.Done()
	for ctx.Err() == nil {
		interval := announce.NextInterval
		if lease, err := t.announceOnce(ctx, entry); err == nil {
			interval = time.Duration(lease.NextMS) * time.Millisecond
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// announceOnce sends one announcement to an entry and returns the lease that
// the entry grants.
func (t *Target) announceOnce(ctx context.Context, entry string) (announce.Lease, error) {
	var lease announce.Lease
	address := t.config.Advertise
	if address == "" {
		address = t.Address()
	}
	t.mu.Lock()
	leaving := t.leaving
	t.mu.Unlock()
	body, err := json.Marshal(announce.Announcement{VM: t.config.VM, Address: address, Services: t.config.Services, Incarnation: t.incarnation, StartedMS: t.startedMS, Leaving: leaving})
	if err != nil {
		return lease, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/targets", bytes.NewReader(body))
	if err != nil {
		return lease, err
	}
	req.Header.Set("Authorization", "Bearer "+t.config.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return lease, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return lease, fmt.Errorf("entry %s responded with status %s", entry, resp.Status)
	}
	return lease, json.NewDecoder(resp.Body).Decode(&lease)
}
