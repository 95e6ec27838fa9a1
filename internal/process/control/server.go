package control

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workerapi"
	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/plan"
)

// Server is one control process.
type Server struct {
	settings  *settings.Control
	replica   replica.Replica
	machine   *state.Machine
	node      *link.Node
	admin     *adminhttp.Server
	recorder  *timeline.Recorder
	log       *slog.Logger
	observers *observers
	entryRuns *entryRuns
	stop      chan struct{}
	// stopJobs ends the job runner of the present term.
	stopJobs context.CancelFunc

	// outlook and snapshot are the executor's last plan and what it saw.
	outlook  atomic.Pointer[outlook]
	snapshot atomic.Pointer[plan.Input]
	// followed is closed once leadership is no longer followed.
	followed chan struct{}
}

// New wires a control process; Start makes it serve.
func New(s *settings.Control, r replica.Replica, m *state.Machine, n *link.Node, a *adminhttp.Server, rec *timeline.Recorder, log *slog.Logger) *Server {
	return &Server{settings: s, replica: r, machine: m, node: n, admin: a, recorder: rec, log: log,
		observers: newObservers(), entryRuns: newEntryRuns(), stop: make(chan struct{}), stopJobs: func() {}, followed: make(chan struct{})}
}

// Start serves entries and operators.
func (s *Server) Start() error {
	s.registerLink()
	s.registerDocuments()
	s.registerStatus()
	s.registerJobs()
	s.registerWaves()
	s.registerMoves()
	s.registerPlan()
	s.registerMetrics()
	s.registerMembers()
	s.node.Serve()
	go s.followLeadership()
	if err := s.admin.Start(s.settings.Admin); err != nil {
		return err
	}
	s.admin.SetReady(true)
	s.recorder.Record(timeline.Event{Kind: timeline.ProcessStarted})
	return nil
}

// Stop ends the process gracefully.
func (s *Server) Stop(ctx context.Context) error {
	s.recorder.Record(timeline.Event{Kind: timeline.ProcessStopping})
	s.admin.SetReady(false)
	close(s.stop)
	<-s.followed
	return errors.Join(s.admin.Stop(ctx), s.replica.Stop(), s.node.Close())
}

// followLeadership notes when this process begins and ends to lead, and
// runs the executor in between.
func (s *Server) followLeadership() {
	defer close(s.followed)
	var running *executor
	for {
		select {
		case leads := <-s.replica.LeaderChanges():
			running.stop()
			running = nil
			s.stopJobs()
			s.noteLeadership(leads)
			if leads {
				running = s.startExecutor()
				s.startJobs()
			}
		case <-s.stop:
			s.stopJobs()
			running.stop()
			return
		}
	}
}

func (s *Server) noteLeadership(leads bool) {
	kind := timeline.LeaderLost
	if leads {
		kind = timeline.LeaderElected
	}
	s.observers.clear()
	s.outlook.Store(nil)
	s.snapshot.Store(nil)
	s.recorder.Record(timeline.Event{Kind: kind})
	s.log.Info(string(kind), "term", s.replica.Status().Term)
}

// startJobs runs jobs until stopJobs.
func (s *Server) startJobs() {
	if s.settings.Platform == "" {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopJobs = cancel
	go newJobRunner(s, workerapi.NewHTTP(s.settings.Platform)).run(ctx)
}

// propose makes, replicates and applies one command and decodes its result.
func propose[T any](ctx context.Context, s *Server, kind state.Kind, body any) (T, error) {
	var none T
	command, err := state.Encode(kind, time.Now().UnixMilli(), body)
	if err != nil {
		return none, err
	}
	result, err := s.replica.Propose(ctx, command)
	if err != nil {
		return none, logging.Wrap(err, "propose "+string(kind), s.settings.ID)
	}
	return state.DecodeResult[T](result)
}
