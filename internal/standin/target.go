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

// announceTimeout bounds one announcement.
const announceTimeout = 500 * time.Millisecond

// rawLinger is the time for which a raw answer's connection stays open.
const rawLinger = 300 * time.Millisecond

// Reply is the body that a target answers with.
type Reply struct {
	VM      string `json:"vm"`
	Path    string `json:"path"`
	Method  string `json:"method"`
	Request string `json:"request"`
	// Run numbers the requests that this target ran.
	Run int `json:"run"`
	// Bytes is the length of the request's body.
	Bytes int `json:"bytes"`
}

// TargetConfig describes one target.
type TargetConfig struct {
	VM       string
	Token    string
	Services []string
	// Entries lists the announcement addresses of the zone's entries.
	Entries []string
	// Advertise replaces the address that is announced, "" for the real one.
	Advertise string
}

// Target is one target process on a stand-in VM. It is safe for concurrent use.
type Target struct {
	config      TargetConfig
	listener    net.Listener
	server      *http.Server
	client      *http.Client
	incarnation string
	startedMS   int64
	cancel      context.CancelFunc
	done        sync.WaitGroup

	mu      sync.Mutex
	leaving bool
	runs    []string
	// inFlight is the number of requests running; peak is its maximum.
	inFlight, peak int
	// next is when each entry wants to hear from the target again.
}

// StartTarget listens on a free port of the loopback and announces itself.
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
			panic(fmt.Sprintf("stand-in target %s: %v", config.VM, err))
		}
	}()
	for _, entry := range config.Entries {
		t.done.Add(1)
		go t.announceTo(ctx, entry)
	}
	return t, nil
}

// Address returns the address the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Runs returns the request IDs that the target ran, in order.
func (t *Target) Runs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string{}, t.runs...)
}

// Peak returns the largest number of requests that ran at once.
func (t *Target) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

// InFlight returns the number of requests that run now.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// SetLeaving changes what the next announcements say.
func (t *Target) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}

// Kill ends the target at once, as a failed VM does.
func (t *Target) Kill() {
	t.cancel()
	// All connections are cut; there is nothing to report.
	_ = t.server.Close()
	t.done.Wait()
}

// ServeHTTP runs a request. Query parameters shape the answer: sleep_ms
// delays it, bytes sets its length, status its status, truncate=1 cuts it,
// hang=1 never ends it, cross=1 names another request, close=1 ends the
// connection in place of an answer, unframed=1 gives no length, twice=1
// sends the answer two times. With only=VM all other VMs answer plainly.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	run := t.begin(id)
	defer t.end()
	query := r.URL.Query()
	if only := query.Get("only"); only != "" && only != t.config.VM {
		query = url.Values{"sleep_ms": query["other_sleep_ms"]}
	}
	if !wait(r.Context(), query.Get("sleep_ms")) {
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
	if raw := rawAnswer(query, w.Header(), reply); raw != nil {
		answerRaw(w, raw)
		return
	}
	if query.Get("truncate") != "" {
		reply = reply[:len(reply)/2]
	}
	// The entry may be gone; the run counts all the same.
	_, _ = w.Write(reply)
}

// rawAnswer returns the bytes of an answer that no HTTP server gives, nil
// if none is asked for.
func rawAnswer(query url.Values, header http.Header, reply []byte) []byte {
	var raw bytes.Buffer
	raw.WriteString("HTTP/1.1 200 OK\r\n")
	if query.Get("unframed") != "" {
		header.Del("Content-Length")
	}
	// A buffer's writes never fail.
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

// answerRaw writes to the connection and ends it a little later, so that
// an answer arrives before the end.
func answerRaw(w http.ResponseWriter, raw []byte) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	if len(raw) == 0 {
		return
	}
	// The entry may be gone; the run counts all the same.
	_, _ = connection.Write(raw)
	time.Sleep(rawLinger)
}

// StopAnnouncing lets the target's leases end while it goes on serving.
func (t *Target) StopAnnouncing() {
	t.cancel()
	t.done.Wait()
}

func (t *Target) begin(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, id)
	t.inFlight++
	t.peak = max(t.peak, t.inFlight)
	return len(t.runs)
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// wait sleeps for the number of milliseconds in the text; false if the
// context ended first.
func wait(ctx context.Context, text string) bool {
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

// announceTo keeps a lease with one entry.
func (t *Target) announceTo(ctx context.Context, entry string) {
	defer t.done.Done()
	for ctx.Err() == nil {
		next := announce.NextInterval
		if lease, err := t.announceOnce(ctx, entry); err == nil {
			next = time.Duration(lease.NextMS) * time.Millisecond
		}
		select {
		case <-time.After(next):
		case <-ctx.Done():
		}
	}
}

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
		return lease, fmt.Errorf("entry %s answered %s", entry, resp.Status)
	}
	return lease, json.NewDecoder(resp.Body).Decode(&lease)
}
