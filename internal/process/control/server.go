package control

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
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
	stop      chan struct{}
}

// New wires a control process; Start makes it serve.
func New(s *settings.Control, r replica.Replica, m *state.Machine, n *link.Node, a *adminhttp.Server, rec *timeline.Recorder, log *slog.Logger) *Server {
	return &Server{settings: s, replica: r, machine: m, node: n, admin: a, recorder: rec, log: log,
		observers: newObservers(), stop: make(chan struct{})}
}

// Start serves entries and operators.
func (s *Server) Start() error {
	s.registerLink()
	s.registerDocuments()
	s.registerStatus()
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
	return errors.Join(s.admin.Stop(ctx), s.replica.Stop(), s.node.Close())
}

// followLeadership notes when this process begins and ends to lead.
func (s *Server) followLeadership() {
	for {
		select {
		case leads := <-s.replica.LeaderChanges():
			s.noteLeadership(leads)
		case <-s.stop:
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
	s.recorder.Record(timeline.Event{Kind: kind})
	s.log.Info(string(kind), "term", s.replica.Status().Term)
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
		return none, logging.At(err, "propose "+string(kind), s.settings.ID)
	}
	return state.DecodeResult[T](result)
}
