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
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 32 << 10
	// expiryInterval is the time between looks for ended leases.
	expiryInterval = 200 * time.Millisecond
	// defaultDrain is the time between refusing readiness and closing the
	// callers' port.
	defaultDrain = 2 * time.Second
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
	// dirty wakes the control goroutine to rebuild the table.
	dirty  chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
	// stopping says that a graceful stop has begun.
	stopping atomic.Bool
}

// New wires an entry process; Start makes it serve.
func New(s *settings.Entry, ring *keys.Ring, node *link.Node, admin *adminhttp.Server, recorder *timeline.Recorder, log *slog.Logger) *Server {
	server := &Server{settings: s, node: node, admin: admin, recorder: recorder, log: log, dirty: make(chan struct{}, 1)}
	self := view.Entry{ID: s.ID, Zone: s.Zone, Link: s.Link, Admin: s.Admin}
	incarnation := rand.Text()
	leader := newControls(node, s.Control)
	server.follower = newFollower(self, leader, viewFile{dir: s.DataDir}, recorder, log, server.markDirty)
	server.targets = announce.NewTable(recorder, server.knowsVM, server.markDirty)
	server.peers = newPeers(self, node, server.targets, server.follower, log, server.run)
	server.handler = request.NewHandler(targetconn.NewClient(), newClaimer(leader, s.ID, incarnation, recorder, log), recorder, log)
	server.handler.SetLeaseSource(server.targets)
	server.reporter = &reporter{self: self, incarnation: incarnation, controls: leader, follower: server.follower,
		targets: server.targets, handler: server.handler, log: log}
	store := &batchStore{controls: leader, entry: s.ID, incarnation: incarnation}
	server.batch = batch.NewRunner(store, server.handler, server.service, server.runnable, log)
	server.callers = server.newHTTP(server.callerRoutes(batch.NewRoutes(store, server.service)))
	server.announce = server.newHTTP(server.announceRoutes(ring))
	return server
}

// knowsVM says whether a VM may announce itself: all before the first view.
func (s *Server) knowsVM(vm string) bool {
	current := s.follower.View()
	_, known := current.VMs[vm]
	return known || current.Version == 0
}

// service finds what batch requests need to know of a service.
func (s *Server) service(name string) (batch.Service, bool) {
	found, declared := s.follower.View().Services[name]
	return batch.Service{IdempotentMethods: found.IdempotentMethods, Deadline: time.Duration(found.DeadlineMS) * time.Millisecond}, declared
}

// runnable lists the batch services that have live targets here.
func (s *Server) runnable() []string {
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

// markDirty asks for a rebuild of the table; it never blocks.
func (s *Server) markDirty() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// Start serves callers, targets, processes and operators.
func (s *Server) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.peers.register()
	s.node.Serve()
	s.run(func() { s.follower.Run(ctx) })
	s.run(func() { s.peers.catchUp(ctx) })
	s.run(func() { s.reporter.run(ctx) })
	s.run(func() { s.batch.Run(ctx) })
	s.run(func() { s.control(ctx) })
	if err := s.listen(s.callers, s.settings.Callers); err != nil {
		return err
	}
	if err := s.listen(s.announce, s.settings.Announce); err != nil {
		return err
	}
	s.recorder.Record(timeline.Event{Kind: timeline.ProcessStarted})
	return s.admin.Start(s.settings.Admin)
}

func (s *Server) run(work func()) {
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		work()
	}()
}

func (s *Server) listen(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return logging.Wrap(err, "listen", address)
	}
	go func() {
		if err := server.Serve(request.OutcomeListener(listener)); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("port failed", "address", address, logging.Err(err))
		}
	}()
	return nil
}

// control is the one goroutine that owns the entry's knowledge: it joins
// view and targets into a table whenever one of them changed.
func (s *Server) control(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	var livePeers []string
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.targets.Expire(now)
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

// rebuild makes the table in force; livePeers lists the zone's other live
// entries in order.
func (s *Server) rebuild(ctx context.Context, livePeers []string) {
	current := s.follower.View()
	if s.follower.Removed() {
		// Control counts this entry as powered off: it must send no work.
		current = view.Empty()
	}
	s.peers.reconcile(ctx, current)
	rank, _ := slices.BinarySearch(livePeers, s.settings.ID)
	table := request.NewTable(current, s.targets.Snapshot(), 1+len(livePeers))
	s.handler.SetTable(table.WithRank(rank))
	s.admin.SetReady(current.Version > 0 && !s.stopping.Load())
}

// Stop ends the process gracefully: readiness is refused first, so that
// the balancer looks elsewhere, then the requests in flight end.
func (s *Server) Stop(ctx context.Context) error {
	s.recorder.Record(timeline.Event{Kind: timeline.ProcessStopping})
	s.stopping.Store(true)
	s.admin.SetReady(false)
	drain := time.Duration(s.settings.DrainMS) * time.Millisecond
	if drain == 0 {
		drain = defaultDrain
	}
	pause(ctx, drain)
	callersErr := s.callers.Shutdown(ctx)
	batchErr := s.batch.Stop(ctx)
	announceErr := s.announce.Shutdown(ctx)
	s.cancel()
	s.done.Wait()
	return errors.Join(callersErr, batchErr, announceErr, s.admin.Stop(ctx), s.node.Close())
}
