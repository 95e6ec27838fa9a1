package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/request"
	"arbutusward.example/arbutusward/internal/request/batch"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

const (
	// headerTimeout bounds the time to receive a request's header.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 32 << 10
	// expiryInterval is the time between checks for expired leases.
	expiryInterval = 200 * time.Millisecond
	// defaultDrainTime is the time between failing the readiness check and
	// closing the callers' port.
	defaultDrainTime = 2 * time.Second
)

// Server is one entry process.
type Server struct {
	settings *settings.Entry
	node     *link.Node
	admin    *adminhttp.Server
	recorder *timeline.Recorder
	log      *slog.Logger

	follower *Follower
	targets  *announce.Table
	peers    *peers
	reporter *reporter
	handler  *request.Handler
	batch    *batch.Runner
	callers  *http.Server
	announce *http.Server
	// dirty signals maintainTable that the routing table must be rebuilt.
	dirty  chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
	// stopping is set once a graceful stop has begun.
	stopping atomic.Bool
}

// New returns an entry process; Start makes it serve.
func New(s *settings.Entry, ring *keys.Ring, node *link.Node, admin *adminhttp.Server, recorder *timeline.Recorder, log *slog.Logger) *Server {
	server := &Server{settings: s, node: node, admin: admin, recorder: recorder, log: log, dirty: make(chan struct{}, 1)}
	self := view.Entry{ID: s.ID, Zone: s.Zone, Link: s.Link, Admin: s.Admin}
	incarnation := rand.Text()
	control := newControls(node, s.Control)
	server.follower = newFollower(self, control, viewFile{dir: s.DataDir}, recorder, log, server.markDirty)
	server.targets = announce.NewTable(recorder, server.knowsVM, server.markDirty)
	server.peers = newPeers(self, node, server.targets, server.follower, log, server.run)
	server.handler = request.NewHandler(targetconn.NewClient(), newClaimer(control, s.ID, incarnation, recorder, log), recorder, log)
	server.handler.SetLeaseSource(server.targets)
	server.reporter = &reporter{self: self, incarnation: incarnation, controls: control, follower: server.follower,
		targets: server.targets, handler: server.handler, log: log}
	store := &batchStore{controls: control, entry: s.ID, incarnation: incarnation}
	server.batch = batch.NewRunner(store, server.handler, server.service, server.runnableBatch, log)
	server.callers = server.newHTTP(server.callerRoutes(batch.NewRoutes(store, server.service)))
	server.announce = server.newHTTP(server.announceRoutes(ring))
	server.announce.ConnContext = announce.ConnContext
	return server
}

// knowsVM reports whether a VM may announce itself. Before the first view every
// VM may.
func (s *Server) knowsVM(vm string) bool {
	current := s.follower.View()
	_, known := current.VMs[vm]
	return known || current.Version == 0
}

// service returns the properties of a service that batch requests depend on.
func (s *Server) service(name string) (batch.Service, bool) {
	found, declared := s.follower.View().Services[name]
	return batch.Service{IdempotentMethods: found.IdempotentMethods, Deadline: time.Duration(found.DeadlineMS) * time.Millisecond}, declared
}

// runnableBatch returns the batch services that have live targets in the zone.
func (s *Server) runnableBatch() []string {
	current := s.follower.View()
	if s.follower.Removed() {
		return nil
	}
	now := time.Now()
	live := map[string]bool{}
	for name, target := range s.targets.Snapshot().Targets {
		if vm, known := current.VMs[name]; known && vm.Phase == view.Serving && target.Live(now) {
			live[vm.Pool] = true
		}
	}
	var services []string
	for name, service := range current.Services {
		if service.Class == fleet.Batch && live[service.Pool] {
			services = append(services, name)
		}
	}
	slices.Sort(services)
	return services
}

func (s *Server) newHTTP(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
}

// markDirty requests a rebuild of the routing table. It never blocks.
func (s *Server) markDirty() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// Start starts to serve callers, targets, other processes and operators.
func (s *Server) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.peers.register()
	s.node.Serve()
	s.run(func() { s.follower.Run(ctx) })
	s.run(func() { s.peers.catchUp(ctx) })
	s.run(func() { s.reporter.run(ctx) })
	s.run(func() { s.batch.Run(ctx) })
	s.run(func() { s.maintainTable(ctx) })
	if err := s.listen(s.callers, s.settings.Callers); err != nil {
		return err
	}
	if err := s.listen(s.announce, s.settings.Announce); err != nil {
		return err
	}
	s.recorder.Record(timeline.Event{Kind: timeline.ProcessStarted})
	return s.admin.Start(s.settings.Admin)
}

// run runs a function in a goroutine that Stop waits for.
func (s *Server) run(work func()) {
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		work()
	}()
}

// listen starts a server on an address.
func (s *Server) listen(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return logging.Wrap(err, "listen", address)
	}
	go func() {
		if err := server.Serve(request.OutcomeListener(listener)); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("port stopped serving", "address", address, logging.Err(err))
		}
	}()
	return nil
}

// logStall logs that the process was suspended.
func (s *Server) logStall() {
	if stall := s.targets.TakeStall(); stall > 0 {
		s.log.Warn("entry was suspended, announcements that may have waited are refused", "stall_ms", stall.Milliseconds())
	}
}

// maintainTable expires leases and rebuilds the routing table whenever the view,
// the targets or the live peers have changed. Only its goroutine rebuilds the
// table.
func (s *Server) maintainTable(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	var livePeers []string
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.targets.Expire(now)
			s.logStall()
			if live := s.targets.LivePeers(now); !slices.Equal(live, livePeers) {
				livePeers = live
				livePeersGauge.Set(float64(len(live)))
				s.rebuild(ctx, livePeers)
			}
		case <-s.dirty:
			s.rebuild(ctx, livePeers)
		}
	}
}

// rebuild builds the routing table from the view and the targets, and makes the
// handler use it.
// livePeers are the ids of the zone's other live entries, sorted.
func (s *Server) rebuild(ctx context.Context, livePeers []string) {
	current := s.follower.View()
	if s.follower.Removed() {
		// Control counts this entry as powered off, so it must send no work.
		current = view.Empty()
	}
	s.peers.reconcile(ctx, current)
	rank, _ := slices.BinarySearch(livePeers, s.settings.ID)
	table := request.NewTable(current, s.targets.Snapshot(), 1+len(livePeers))
	s.handler.SetTable(table.WithRank(rank))
	s.admin.SetReady(current.Version > 0 && !s.stopping.Load())
}

// Stop stops the process gracefully. It first fails the readiness check, so
// that the load balancer sends callers elsewhere, and then waits for the
// requests in flight.
func (s *Server) Stop(ctx context.Context) error {
	s.recorder.Record(timeline.Event{Kind: timeline.ProcessStopping})
	s.stopping.Store(true)
	s.admin.SetReady(false)
	drain := time.Duration(s.settings.DrainMS) * time.Millisecond
	if drain == 0 {
		drain = defaultDrainTime
	}
	pause(ctx, drain)
	callersErr := s.callers.Shutdown(ctx)
	batchErr := s.batch.Stop(ctx)
	announceErr := s.announce.Shutdown(ctx)
	s.cancel()
	s.done.Wait()
	return errors.Join(callersErr, batchErr, announceErr, s.admin.Stop(ctx), s.node.Close())
}
