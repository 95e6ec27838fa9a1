package scheduler

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/scheduler/admit"
	"arbutusward.example/arbutusward/internal/process/scheduler/submission"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/access"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// maxQuorumSilence is the time without contact to a majority after which the
// leader refuses jobs: several heartbeats of the log. A job that is proposed
// later would most likely wait in a log that no majority gets.
const maxQuorumSilence = 400 * time.Millisecond

// Submit accepts a job durably. A job that was accepted before is accepted
// again without effect.
func (s *Server) Submit(ctx context.Context, r workcall.SubmitRequest) (response workcall.SubmitResponse, err error) {
	var found submission.Finding
	look := func(v *workstate.View) { found = submission.Examine(v, &r) }
	s.machine.Read(look)
	if found.NeedsBarrier() {
		if err := s.read(ctx, look); err != nil {
			return response, found.BarrierFault(err)
		}
	}
	id := found.ID
	if found.Refused() {
		s.logDenied(r.Location, found.Denied)
		found.Refusal.Known = found.Known
		return found.Refusal, nil
	}
	if found.Known {
		// The state holds only committed jobs.
		s.log.Info("job already accepted", "job", id, "path", r.Path)
		return workcall.SubmitResponse{Status: workcall.OK}, nil
	}
	if silence := s.replica.Status().LeaderSilence; silence > maxQuorumSilence {
		s.log.Warn("job refused, no contact to a majority", "job", id, "path", r.Path, "silent_ms", silence.Milliseconds())
		return response, &link.Fault{Code: workcall.CodeUnavailable, Message: "the leader has no contact to a majority"}
	}
	proposal, response, err := s.admission.Admit(ctx, admit.Leader{Machine: s.machine, Read: s.read, Log: s.log}, admit.Submission{SubmitRequest: &r, ID: id, Account: found.Account, OverRate: found.OverRate})
	if proposal == nil {
		return response, err
	}
	defer func() { proposal.End(response, err, time.Now()) }()
	result, err := s.propose(ctx, &workstate.Command{Submit: &workstate.Submit{ID: id, Host: r.Host, Path: r.Path, Spec: r.Spec, Key: r.Key}})
	if err != nil {
		return response, err
	}
	s.log.Info("job submitted", "job", id, "path", r.Path, "result", result.Code, "repeated", result.Repeated, "steps", len(r.Spec.Steps))
	if result.Code == workstate.OK && !result.Repeated {
		s.onJobAccepted(id)
	}
	return submission.ResponseTo(result), nil
}

// Job returns the state of a job.
func (s *Server) Job(ctx context.Context, r workcall.JobRequest) (workcall.JobResponse, error) {
	response := workcall.JobResponse{Status: workcall.UnknownJob}
	var denied access.Reason
	err := s.read(ctx, func(v *workstate.View) {
		if v.Catalog().Version == 0 {
			response.Status = workcall.NotReady
			return
		}
		denied = v.JobAccess(r.Host, r.Path, r.Key)
		if denied != access.Allowed {
			response.Status = submission.StatusOfReason(denied)
			return
		}
		if job := v.JobAt(r.Host, r.Path); job != nil {
			response = workcall.JobResponse{Status: workcall.OK, Outcome: job.Outcome, Started: job.Started}
		}
	})
	s.logDenied(r.Location, denied)
	return response, err
}

// Cancel cancels a job. Its executing tasks are stopped afterwards.
func (s *Server) Cancel(ctx context.Context, r workcall.JobRequest) (workcall.CancelResponse, error) {
	refused, err := s.cancelRefused(ctx, r)
	if err != nil {
		return workcall.CancelResponse{}, err
	}
	if refused != 0 {
		return workcall.CancelResponse{Status: refused}, nil
	}
	id := workload.JobIDAt(r.Path)
	result, err := s.propose(ctx, &workstate.Command{Cancel: &workstate.Cancel{ID: id, Host: r.Host, Path: r.Path, Key: r.Key}})
	if err != nil {
		return workcall.CancelResponse{}, err
	}
	s.log.Info("job cancelled", "job", id, "path", r.Path, "result", result.Code, "repeated", result.Repeated)
	return workcall.CancelResponse{Status: submission.StatusOf(result.Code)}, nil
}

// cancelRefused returns the status of a cancellation that must be refused, or 0. A refusal
// is confirmed by a state that includes all that was committed before the call; a call that
// is allowed here is checked again when its command is applied. One for a job that is not
// known is proposed, since the job's submission may be in flight.
func (s *Server) cancelRefused(ctx context.Context, r workcall.JobRequest) (status workcall.Status, err error) {
	var denied access.Reason
	look := func(v *workstate.View) {
		status = 0
		denied = v.JobAccess(r.Host, r.Path, r.Key)
		switch {
		case denied != access.Allowed:
			status = submission.StatusOfReason(denied)
		case v.JobAt(r.Host, r.Path) == nil && v.Job(workload.JobIDAt(r.Path)) != nil:
			status = workcall.UnknownJob
		}
	}
	s.machine.Read(look)
	if status == 0 {
		return 0, nil
	}
	if err := s.read(ctx, look); err != nil {
		return 0, err
	}
	s.logDenied(r.Location, denied)
	if status == workcall.UnknownJob {
		s.log.Info("job not cancelled, the job with the id is at another location", "host", r.Host, "path", r.Path)
	}
	return status, nil
}

// Pending returns the number of a queue's jobs of which no task has started.
func (s *Server) Pending(ctx context.Context, r workcall.PendingRequest) (workcall.PendingResponse, error) {
	response := workcall.PendingResponse{Status: workcall.UnknownQueue}
	var denied access.Reason
	err := s.read(ctx, func(v *workstate.View) {
		if v.Catalog().Version == 0 {
			response.Status = workcall.NotReady
			return
		}
		decision := v.Access().Queue(r.Host, r.Path, r.Key)
		denied = decision.Reason
		switch {
		case denied != access.Allowed:
			response.Status = submission.StatusOfReason(denied)
		case decision.Rest == "":
			response = workcall.PendingResponse{Status: workcall.OK, Pending: v.Pending(decision.Queue.Key())}
		}
		response.CatalogVersion = v.Catalog().Version
	})
	s.logDenied(r.Location, denied)
	return response, err
}
