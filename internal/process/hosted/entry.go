// Package hosted runs the two programs of a deployment on the users'
// platform: an entry that passes clients' requests to the leader of control,
// and a control process that keeps the state and schedules.
package hosted

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/platform"
)

// Times of an entry.
const (
	// leaderAgeLimit is the time without a leader after which an entry
	// reports that it is not ready. The platform asks once a second and acts
	// on the second miss, so that an election goes unnoticed.
	leaderAgeLimit = 1300 * time.Millisecond
	// rotationTime is how long the platform takes to stop sending new
	// connections to an entry that is not ready: two checks, one a second.
	rotationTime = 2500 * time.Millisecond
	// shutdownTimeout bounds the requests that are still served after it.
	shutdownTimeout = 3 * time.Second
)

// Entry serves clients.
type Entry struct {
	settings *platform.Settings
	node     *link.Node
	client   *workcall.Client
	api      *platform.ClientAPI
	log      *slog.Logger

	servers  servers
	stopping atomic.Bool
	cancel   context.CancelFunc
}

// NewEntryNode opens an entry's links; its VM names it.
func NewEntryNode(s *platform.Settings, recorder *timeline.Recorder, log *slog.Logger) (*link.Node, error) {
	return listenLinks(s.VM, s, recorder, log)
}

// NewEntry wires an entry.
func NewEntry(s *platform.Settings, node *link.Node, log *slog.Logger) *Entry {
	client := workcall.NewClient(node, s.SeedLinks, log)
	return &Entry{settings: s, node: node, client: client, api: platform.NewClientAPI(client, client.SinceLeaderContact, log), log: log}
}

// Start begins to serve.
func (e *Entry) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.node.Serve()
	go e.client.Run(ctx)
	go followSettings(ctx, e.settings.SeedLinks, e.client, e.log)
	ready := http.NewServeMux()
	ready.HandleFunc("GET /ready", e.ready)
	return errors.Join(
		e.servers.listen(e.settings.ClientAddress, e.api),
		e.servers.listen(e.settings.ReadyAddress, ready),
		e.servers.listen(e.settings.MetricsAddress, metricsHandler()),
	)
}

// ready answers whether clients should come here: a configuration is in
// force and the leader was reached a short while ago.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || e.client.CatalogVersion() == 0 || e.client.SinceLeaderContact() > leaderAgeLimit {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stop lets the platform send clients elsewhere, and answers the requests
// that came meanwhile.
func (e *Entry) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	e.api.Drain()
	select {
	case <-time.After(rotationTime):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	err := e.servers.shutdown(ctx)
	e.cancel()
	return errors.Join(err, e.node.Close())
}

// servers are the HTTP servers of a process.
type servers struct{ list []*http.Server }

func (s *servers) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return logging.Wrap(err, "listen", address)
	}
	server := platform.NewHTTPServer(handler)
	s.list = append(s.list, server)
	go func() {
		// Serve ends when the server is shut down.
		_ = server.Serve(listener)
	}()
	return nil
}

func (s *servers) shutdown(ctx context.Context) error {
	var errs []error
	for _, server := range s.list {
		errs = append(errs, server.Shutdown(ctx))
	}
	return errors.Join(errs...)
}
