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
	settings     *settings.Control
	replica      replica.Replica
	machine      *state.Machine
	node         *link.Node
	admin        *adminhttp.Server
	recorder     *timeline.Recorder
	log          *slog.Logger
	observations *observations
	incarnations *incarnations
	stop         chan struct{}
	// stopJobs stops the job runner of the current term.
	stopJobs context.CancelFunc

	// planOutcome and snapshot are the outcome and the input of the
	// executor's last plan.
	planOutcome atomic.Pointer[planOutcome]
	snapshot    atomic.Pointer[plan.Input]
	// followDone is closed once followLeadership has returned.
	followDone chan struct{}
}

// New returns a control process that has not started yet; see Start.
func New(s *settings.Control, r replica.Replica, m *state.Machine, n *link.Node, a *adminhttp.Server, rec *timeline.Recorder, log *slog.Logger) *Server {
	return &Server{settings: s, replica: r, machine: m, node: n, admin: a, recorder: rec, log: log,
		observations: newObservations(), incarnations: newIncarnations(), stop: make(chan struct{}), stopJobs: func() {}, followDone: make(chan struct{})}
}

// Start starts to serve entries and operators.
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

// Stop stops the process gracefully.
func (s *Server) Stop(ctx context.Context) error {
	s.recorder.Record(timeline.Event{Kind: timeline.ProcessStopping})
	s.admin.SetReady(false)
	close(s.stop)
	<-s.followDone
	return errors.Join(s.admin.Stop(ctx), s.replica.Stop(), s.node.Close())
}

// followLeadership handles the start and the end of this process's
// leadership, and runs the executor and the job runner in between.
func (s *Server) followLeadership() {
	defer close(s.followDone)
	var running *executor
	for {
		select {
		case leads := <-s.replica.LeaderChanges():
			running.stop()
			running = nil
			s.stopJobs()
			s.handleLeaderChange(leads)
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

// handleLeaderChange drops the observations and plans of the previous term
// and records the change.
func (s *Server) handleLeaderChange(leads bool) {
	kind := timeline.LeaderLost
	if leads {
		kind = timeline.LeaderElected
	}
	s.observations.clear()
	s.planOutcome.Store(nil)
	s.snapshot.Store(nil)
	s.recorder.Record(timeline.Event{Kind: kind})
	s.log.Info(string(kind), "term", s.replica.Status().Term)
}

// startJobs runs the job runner until stopJobs is called.
func (s *Server) startJobs() {
	if s.settings.Platform == "" {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopJobs = cancel
	go newJobRunner(s, workerapi.NewHTTP(s.settings.Platform)).run(ctx)
}

// propose encodes a command, replicates it, and decodes its result.
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
