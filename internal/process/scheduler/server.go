package scheduler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// Server answers calls with the replicated state. Each method that reads or
// changes the state fails with a *link.Fault unless this process leads.
type Server struct {
	replica replica.Replica
	machine *workstate.Machine
	log     *slog.Logger
	// address is where workers and operators reach this process.
	address string
	// wake requests a round of the leader's loop after a change of the state.
	wake func()
	// onHeartbeat passes a worker's heartbeat to the leader's loop.
	onHeartbeat func(id string)
	// onJobAccepted passes a new job to the leader's loop.
	onJobAccepted func(id string)
	now           func() time.Time
	// proposals tracks the configurations that are being proposed.
	proposals proposalGate
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

// propose commits a command through the replica and returns its result.
func propose(ctx context.Context, r replica.Replica, c *workstate.Command, now time.Time) (workstate.Result, error) {
	c.AtMS = now.UnixMilli()
	encoded, err := cbor.Marshal(c)
	if err != nil {
		return workstate.Result{}, fmt.Errorf("encode command: %w", err)
	}
	answer, err := r.Propose(ctx, encoded)
	if err != nil {
		return workstate.Result{}, err
	}
	var result workstate.Result
	if err := cbor.Unmarshal(answer, &result); err != nil {
		return result, fmt.Errorf("decode result: %w", err)
	}
	return result, nil
}

// fault translates an error of the replica to a *link.Fault for the caller.
func (s *Server) fault(err error) error {
	var other *replica.NotLeaderError
	switch {
	case errors.As(err, &other):
		return &link.Fault{Code: link.CodeNotLeader, Message: err.Error(), Leader: other.Link}
	case errors.Is(err, replica.ErrUnknownResult):
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

// jobIDLength is the length of a job id in hexadecimal digits.
const jobIDLength = 16

// validJobID reports whether a string is a valid job id.
func validJobID(id string) bool {
	return len(id) == jobIDLength && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// Submit accepts a job durably. A job that was accepted before is accepted
// again without effect.
func (s *Server) Submit(ctx context.Context, r workcall.SubmitRequest) (workcall.SubmitResponse, error) {
	var response workcall.SubmitResponse
	var id string
	known := false
	s.machine.Read(func(v *workstate.View) {
		queue, rest := v.Catalog().Match(r.Host, r.Path)
		id = rest
		switch {
		case v.Catalog().Version == 0:
			response.Status = workcall.NotReady
		case queue == nil:
			response.Status = workcall.UnknownQueue
		case !validJobID(rest):
			response = workcall.SubmitResponse{Status: workcall.Invalid, Reason: "the id is not 16 hexadecimal digits"}
		}
		known = v.Job(rest) != nil
	})
	if known {
		// The state holds only committed jobs.
		s.log.Info("job already accepted", "job", id, "path", r.Path)
		return workcall.SubmitResponse{Status: workcall.OK}, nil
	}
	if response.Status != 0 {
		return s.confirmRefusal(ctx, response)
	}
	result, err := s.propose(ctx, &workstate.Command{Submit: &workstate.Submit{ID: id, Host: r.Host, Path: r.Path, Spec: r.Spec}})
	if err != nil {
		return response, err
	}
	s.log.Info("job submitted", "job", id, "path", r.Path, "result", result.Code, "repeated", result.Repeated, "steps", len(r.Spec.Steps))
	if result.Code == workstate.OK && !result.Repeated {
		s.onJobAccepted(id)
	}
	if result.Code == workstate.UnknownQueue {
		return workcall.SubmitResponse{Status: workcall.UnknownQueue}, nil
	}
	return workcall.SubmitResponse{Status: workcall.OK}, nil
}

// confirmRefusal returns a refusal after confirming that this process leads. A
// process that lags behind could refuse because of an older configuration.
func (s *Server) confirmRefusal(ctx context.Context, response workcall.SubmitResponse) (workcall.SubmitResponse, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return response, s.fault(err)
	}
	return response, nil
}

// findJob returns the job that a path names, or nil.
func findJob(v *workstate.View, location workcall.Location) *workstate.Job {
	return v.Job(location.Path[strings.LastIndexByte(location.Path, '/')+1:])
}

// Job returns the state of a job.
func (s *Server) Job(ctx context.Context, r workcall.JobRequest) (workcall.JobResponse, error) {
	response := workcall.JobResponse{Status: workcall.UnknownJob}
	err := s.read(ctx, func(v *workstate.View) {
		if v.Catalog().Version == 0 {
			response.Status = workcall.NotReady
			return
		}
		if job := findJob(v, r.Location); job != nil {
			response = workcall.JobResponse{Status: workcall.OK, Outcome: job.Outcome, Started: job.Started}
		}
	})
	return response, err
}

// Cancel cancels a job. Its executing tasks are stopped afterwards.
func (s *Server) Cancel(ctx context.Context, r workcall.JobRequest) (workcall.CancelResponse, error) {
	id := r.Path[strings.LastIndexByte(r.Path, '/')+1:]
	result, err := s.propose(ctx, &workstate.Command{Cancel: &workstate.Cancel{ID: id}})
	if err != nil {
		return workcall.CancelResponse{}, err
	}
	s.log.Info("job cancelled", "job", id, "result", result.Code, "repeated", result.Repeated)
	if result.Code != workstate.OK {
		return workcall.CancelResponse{Status: workcall.UnknownJob}, nil
	}
	return workcall.CancelResponse{Status: workcall.OK}, nil
}

// Pending returns the number of a queue's jobs of which no task has started.
func (s *Server) Pending(ctx context.Context, r workcall.PendingRequest) (workcall.PendingResponse, error) {
	response := workcall.PendingResponse{Status: workcall.UnknownQueue}
	err := s.read(ctx, func(v *workstate.View) {
		if v.Catalog().Version == 0 {
			response.Status = workcall.NotReady
			return
		}
		queue, rest := v.Catalog().Match(r.Host, r.Path)
		if queue != nil && rest == "" {
			response = workcall.PendingResponse{Status: workcall.OK, Pending: v.Pending(queue.Key())}
		}
		response.CatalogVersion = v.Catalog().Version
	})
	return response, err
}

// Heartbeat handles the heartbeat of a worker. If it changes the registration
// of the worker, it is acknowledged after the change is committed.
func (s *Server) Heartbeat(ctx context.Context, r workcall.HeartbeatRequest) (workcall.HeartbeatResponse, error) {
	status := s.replica.Status()
	if status.Leader != status.ID {
		return workcall.HeartbeatResponse{}, s.fault(notLeader(status))
	}
	response := workcall.HeartbeatResponse{Status: workcall.OK, NextAddress: s.address}
	change := s.compareHeartbeat(&r.Worker)
	if change == unknownService {
		response.Status = workcall.Invalid
		return response, nil
	}
	if change == changed {
		result, err := s.propose(ctx, &workstate.Command{Register: &r.Worker})
		if err != nil {
			return response, err
		}
		s.log.Info("worker registered", "worker", r.Worker.ID, "incarnation", r.Worker.Incarnation, "vm", r.Worker.VM, "address", r.Worker.Address,
			"service", r.Worker.Service, "draining", r.Worker.Draining, "stale", result.Repeated, "sequence", r.Sequence)
	}
	s.onHeartbeat(r.Worker.ID)
	return response, nil
}

// heartbeatChange is the effect of a heartbeat on the registration of a worker.
type heartbeatChange uint8

const (
	// unchanged means that the heartbeat has no new information, or that a
	// later heartbeat has replaced it.
	unchanged heartbeatChange = iota
	// changed means that the worker has to be registered with the new
	// information.
	changed
	// unknownService means that the configuration does not have the worker's
	// service.
	unknownService
)

// compareHeartbeat compares a heartbeat with the registered worker.
func (s *Server) compareHeartbeat(w *workstate.Worker) (change heartbeatChange) {
	s.machine.Read(func(v *workstate.View) {
		if c := v.Catalog(); c.Version > 0 && c.Service(w.Service) == nil {
			change = unknownService
			return
		}
		known := v.Workers()[w.ID]
		switch {
		case known == nil:
			change = changed
		case known.Incarnation > w.Incarnation || sameWorker(known, w):
			change = unchanged
		case known.Incarnation == w.Incarnation && known.Draining:
			// Draining never ends within an incarnation: a heartbeat that
			// says otherwise was overtaken by a later one.
			change = unchanged
		default:
			change = changed
		}
	})
	return change
}

// notLeader returns a NotLeaderError that names the leader, if it is known.
func notLeader(status replica.Status) error {
	for _, m := range status.Members {
		if m.ID == status.Leader && status.Leader != status.ID {
			return &replica.NotLeaderError{ID: m.ID, Link: m.Link, Admin: m.Admin}
		}
	}
	return &replica.NotLeaderError{}
}

// sameWorker reports whether a heartbeat has no new information about a worker.
func sameWorker(a, b *workstate.Worker) bool {
	return a.Address == b.Address && a.Service == b.Service && a.VM == b.VM && a.Incarnation == b.Incarnation &&
		a.Capacity == b.Capacity && a.Draining == b.Draining
}

// Deregister removes a worker that has ended.
func (s *Server) Deregister(ctx context.Context, r workcall.DeregisterRequest) (workcall.Done, error) {
	status := s.replica.Status()
	if status.Leader != status.ID {
		return workcall.Done{}, s.fault(notLeader(status))
	}
	incarnation, known := r.Incarnation, false
	s.machine.Read(func(v *workstate.View) {
		if worker := v.Workers()[r.ID]; worker != nil {
			known = true
			if incarnation == 0 {
				incarnation = worker.Incarnation
			}
		}
	})
	if !known {
		return workcall.Done{}, nil
	}
	_, err := s.propose(ctx, &workstate.Command{Deregister: &workstate.Deregister{ID: r.ID, Incarnation: incarnation}})
	s.log.Info("worker deregistered", "worker", r.ID, "incarnation", incarnation, "committed", err == nil)
	return workcall.Done{}, err
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

// Hello returns the link addresses of the leader and the members.
func (s *Server) Hello() workcall.HelloResponse {
	status := s.replica.Status()
	var response workcall.HelloResponse
	for _, m := range status.Members {
		response.Members = append(response.Members, m.Link)
		if m.ID == status.Leader {
			response.Leader = m.Link
		}
	}
	s.machine.Read(func(v *workstate.View) { response.CatalogVersion = v.Catalog().Version })
	return response
}

// join adds a process with an empty disk as a member. A former member with the
// same link address has lost its disk and is removed first.
func (s *Server) join(ctx context.Context, peer link.Peer, r workcall.JoinRequest) (workcall.Done, error) {
	if peer.ID != r.ID {
		return workcall.Done{}, &link.Fault{Code: workcall.CodeUnavailable, Message: "the id is not the peer's"}
	}
	status := s.replica.Status()
	if status.Leader != status.ID {
		return workcall.Done{}, s.fault(notLeader(status))
	}
	for _, m := range status.Members {
		if m.ID == r.ID {
			return workcall.Done{}, nil
		}
		if m.Link != r.Link {
			continue
		}
		if err := s.replica.RemoveMember(ctx, m.ID); err != nil {
			return workcall.Done{}, s.fault(logging.Wrap(err, "remove the former member", m.ID))
		}
		s.log.Info("member with a lost disk removed", "member", m.ID, "link", m.Link)
	}
	member := replica.Member{ID: r.ID, Link: r.Link, Admin: r.Admin}
	if err := s.replica.AddMember(ctx, member); err != nil {
		return workcall.Done{}, s.fault(logging.Wrap(err, "add member", r.ID))
	}
	s.log.Info("member added", "member", r.ID, "link", r.Link)
	return workcall.Done{}, nil
}
