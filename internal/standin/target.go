package standin

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

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
