// Package hosted runs the two programs of a deployment on the hosting
// platform: an entry, which forwards client requests to the leader of the
// control processes, and a control process, which keeps the replicated state
// and schedules jobs.
package hosted

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/ingress"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/platform"
)

// Timing of an entry.
const (
	// leaderContactLimit is the time without an answer of a leader after which
	// an entry reports that it is not ready, and lostLeaderLimit the same once
	// the entry knows of no leader. The platform checks once a second and acts
	// on the second failure, so an election does not remove the entry.
	leaderContactLimit = 1300 * time.Millisecond
	lostLeaderLimit    = 600 * time.Millisecond
	// removalDelay is how long the platform takes to stop sending new
	// connections to an entry that is not ready: two checks, one a second.
	removalDelay = 2500 * time.Millisecond
	// shutdownTimeout bounds the requests that are still served after
	// removalDelay.
	shutdownTimeout = 3 * time.Second
)

// Entry is an entry process: it serves clients.
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

// NewEntryNode opens the link listener of an entry under the name of its VM.
func NewEntryNode(s *platform.Settings, recorder *timeline.Recorder, log *slog.Logger) (*link.Node, error) {
	return listenLinks(s.VM, s, recorder, log)
}

// NewEntry returns an entry; Start makes it serve.
func NewEntry(s *platform.Settings, node *link.Node, log *slog.Logger) *Entry {
	client := workcall.NewClient(node, s.SeedLinks, log)
	client.UseRelays(s.Zone)
	return &Entry{settings: s, node: node, client: client, api: platform.NewClientAPI(client, client.SinceLeaderContact, log), log: log, servers: newServers(s, log)}
}

// Start starts the entry.
func (e *Entry) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.node.Serve()
	e.client.OnLimits(e.servers.gate.SetLimits)
	go e.servers.gate.Run(ctx)
	go e.client.Run(ctx)
	go watchSettings(ctx, e.settings.SeedLinks, e.client, e.log)
	ready := http.NewServeMux()
	ready.HandleFunc("GET /ready", e.serveReady)
	return errors.Join(
		e.servers.listen(e.settings.ClientAddress, e.api),
		e.servers.listen(e.settings.ReadyAddress, ready),
		e.servers.listen(e.settings.MetricsAddress, metricsHandler(false)),
	)
}

// serveReady answers the readiness check. An entry is ready if a
// configuration is in force, the leader was reached recently and no stop is
// in progress.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || e.client.CatalogVersion() == 0 || !reachesControl(e.client.Leader() != "", e.client.SinceLeaderContact()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// reachesControl reports whether an entry that last heard from a leader some time
// ago can still serve clients. An entry whose zone is cut off should make way for
// those of other zones soon.
func reachesControl(leaderKnown bool, silence time.Duration) bool {
	if leaderKnown {
		return silence <= leaderContactLimit
	}
	return silence <= lostLeaderLimit
}

// Stop reports the entry as not ready, waits until the platform sends clients
// elsewhere, and finishes the requests that arrived until then.
func (e *Entry) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	e.api.Drain()
	select {
	case <-time.After(removalDelay):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	err := e.servers.shutdown(ctx)
	e.cancel()
	return errors.Join(err, e.node.Close())
}

// servers are the HTTP servers of a process.
type servers struct {
	gate *ingress.Gate
	list []*http.Server
}

// newServers returns servers that share what the platform grants the process.
func newServers(s *platform.Settings, log *slog.Logger) servers {
	return servers{gate: ingress.NewGate(ingress.Grant{MemoryMB: s.MemoryMB, Descriptors: s.Descriptors}, log)}
}

// listen starts a server on an address.
func (s *servers) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return logging.Wrap(err, "listen", address)
	}
	server := s.gate.Server(handler)
	s.list = append(s.list, server)
	go func() {
		// Serve returns when the server is shut down.
		_ = server.Serve(s.gate.Listener(listener))
	}()
	return nil
}

// shutdown stops all servers gracefully.
func (s *servers) shutdown(ctx context.Context) error {
	var errs []error
	for _, server := range s.list {
		errs = append(errs, server.Shutdown(ctx))
	}
	return errors.Join(errs...)
}
