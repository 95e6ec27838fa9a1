package scheduler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"arbutusward.example/arbutusward/internal/codec"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/heartbeats"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/scheduler/admit"
	"arbutusward.example/arbutusward/internal/process/scheduler/proposals"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// Server answers calls with the replicated state. Each method that reads or
// changes the state fails with a *link.Fault unless this process leads.
type Server struct {
	replica replica.Replica
	machine *workstate.Machine
	log     *slog.Logger
	// address is where workers and operators reach this process, zone its
	// availability zone.
	address, zone string
	// directWorkers is Options.DirectWorkers.
	directWorkers int
	// wake requests a round of the leader's loop after a change of the state.
	wake func()
	// onHeartbeats passes received heartbeats to the leader's loop.
	onHeartbeats func([]workcall.HeardHeartbeat)
	// heard holds the newest heartbeats that are known here.
	heard heartbeats.Table
	// onJobAccepted passes a new job to the leader's loop.
	onJobAccepted func(id string)
	now           func() time.Time
	// admission decides whether jobs are accepted.
	admission admit.Control
	// proposals tracks the configurations that are being proposed.
	proposals proposals.Gate
}

var _ workcall.LocalControl = (*Server)(nil)

// propose commits a command and returns its result. It wakes the loop.
func (s *Server) propose(ctx context.Context, c *workstate.Command) (workstate.Result, error) {
	result, err := propose(ctx, s.replica, c, s.now())
	if err != nil {
		return result, s.fault(err)
	}
	s.wake()
	return result, nil
}

// propose commits a command through the replica and returns its result. It fails with
// codec.ErrTooLarge or errMalformedCommand if the command has no effect since the members
// can't read it, and with errUnexpectedResult if the members' result can't be used.
func propose(ctx context.Context, r replica.Replica, c *workstate.Command, now time.Time) (workstate.Result, error) {
	c.AtMS = now.UnixMilli()
	encoded, err := codec.Marshal(c)
	if err != nil {
		return workstate.Result{}, fmt.Errorf("encode command: %w", err)
	}
	answer, err := r.Propose(ctx, encoded)
	if err != nil {
		return workstate.Result{}, err
	}
	var result workstate.Result
	if err := codec.UnmarshalStored(answer, &result); err != nil {
		return result, fmt.Errorf("%w: %w", errUnexpectedResult, err)
	}
	if result.Code == workstate.Malformed {
		malformedCommands.Inc()
		return result, errMalformedCommand
	}
	return result, nil
}

// fault translates an error of the replica to a *link.Fault for the caller.
func (s *Server) fault(err error) error {
	var other *replica.NotLeaderError
	switch {
	case errors.As(err, &other):
		return &link.Fault{Code: link.CodeNotLeader, Message: err.Error(), Leader: other.Link}
	case errors.Is(err, replica.ErrUnknownResult), errors.Is(err, errUnexpectedResult):
		return &link.Fault{Code: workcall.CodeUnknown, Message: err.Error()}
	}
	return &link.Fault{Code: workcall.CodeUnavailable, Message: err.Error()}
}

// read calls f with a state that includes everything committed before the call.
func (s *Server) read(ctx context.Context, f func(*workstate.View)) error {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return s.fault(err)
	}
	s.machine.Read(f)
	return nil
}

// ReadCatalog returns the configuration in force.
func (s *Server) ReadCatalog(ctx context.Context, _ workcall.ReadRequest) (workcall.CatalogResponse, error) {
	var response workcall.CatalogResponse
	err := s.read(ctx, func(v *workstate.View) {
		response = workcall.CatalogResponse{Version: v.Catalog().Version, Source: v.Catalog().Source}
	})
	return response, err
}

// StartWave records a maintenance wave.
func (s *Server) StartWave(ctx context.Context, r workcall.WaveRequest) (workcall.Done, error) {
	wave := workstate.Wave{Number: r.Number, VMs: r.VMs, DeadlineMS: r.DeadlineMS, Cap: r.Cap}
	result, err := s.propose(ctx, &workstate.Command{Wave: &wave})
	if err == nil {
		s.log.Info("wave committed", "wave", r.Number, "vms", len(r.VMs), "cap", r.Cap, "repeated", result.Repeated)
	}
	return workcall.Done{}, err
}

// Wave reports whether a wave is finished.
func (s *Server) Wave(ctx context.Context, r workcall.WaveStateRequest) (workcall.WaveStateResponse, error) {
	response := workcall.WaveStateResponse{Status: workcall.UnknownJob}
	err := s.read(ctx, func(v *workstate.View) {
		if wave := v.Waves()[r.Number]; wave != nil {
			response = workcall.WaveStateResponse{Status: workcall.OK, Finished: wave.Finished()}
		}
	})
	return response, err
}
