package scheduler

import (
	"context"
	"strings"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/scheduler/admit"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/access"
)

// jobIDLength is the length of a job id in hexadecimal digits.
const jobIDLength = 16

// validJobID reports whether a string is a valid job id.
func validJobID(id string) bool {
	return len(id) == jobIDLength && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// maxQuorumSilence is the time without contact to a majority after which the
// leader refuses jobs: several heartbeats of the log. A job that is proposed
// later would most likely wait in a log that no majority gets.
const maxQuorumSilence = 400 * time.Millisecond

// submission is what a state says of a submission.
type submission struct {
	id string
	// known is set if the job was accepted before.
	known bool
	// account is the account of the caller, "" without one. overRate is set if the job
	// exceeds the account's rate.
	account  string
	overRate bool
	// refusal is set if the job must be refused.
	refusal workcall.SubmitResponse
	// denied is why the caller's key does not allow the submission. accessControl is
	// set if keys are checked at all.
	denied        access.Reason
	accessControl bool
}

func (d *submission) refused() bool {
	return d.denied != access.Allowed || !d.known && d.refusal.Status != 0
}

// examine looks a submission up in a state. A job that was accepted at this location is
// known also if its route has been changed or removed since.
func examine(v *workstate.View, r workcall.SubmitRequest) submission {
	queue, rest := v.Catalog().Match(r.Host, r.Path)
	found := submission{id: rest}
	job := findJob(v, r.Location)
	if job != nil && job.AcceptedAt(r.Host, r.Path) {
		found.id, found.known = job.ID, true
	}
	switch {
	case v.Catalog().Version == 0:
		found.refusal.Status = workcall.NotReady
	case queue == nil:
		found.refusal.Status = workcall.UnknownQueue
	case !validJobID(rest):
		found.refusal = workcall.SubmitResponse{Status: workcall.Invalid, Reason: "the id is not 16 hexadecimal digits"}
	case job != nil && !found.known:
		found.refusal = workcall.SubmitResponse{Status: workcall.Invalid, Reason: "a job of another queue has the id"}
	}
	found.checkAccess(v, &r)
	return found
}

// Submit accepts a job durably. A job that was accepted before is accepted
// again without effect.
func (s *Server) Submit(ctx context.Context, r workcall.SubmitRequest) (response workcall.SubmitResponse, err error) {
	var found submission
	look := func(v *workstate.View) { found = examine(v, r) }
	s.machine.Read(look)
	if found.needsBarrier() {
		if err := s.read(ctx, look); err != nil {
			return response, found.barrierFault(err)
		}
	}
	id := found.id
	if found.refused() {
		s.logDenied(r.Location, found.denied)
		found.refusal.Known = found.known
		return found.refusal, nil
	}
	if found.known {
		// The state holds only committed jobs.
		s.log.Info("job already accepted", "job", id, "path", r.Path)
		return workcall.SubmitResponse{Status: workcall.OK}, nil
	}
	if silence := s.replica.Status().LeaderSilence; silence > maxQuorumSilence {
		s.log.Warn("job refused, no contact to a majority", "job", id, "path", r.Path, "silent_ms", silence.Milliseconds())
		return response, &link.Fault{Code: workcall.CodeUnavailable, Message: "the leader has no contact to a majority"}
	}
	proposal, response, err := s.admission.Admit(ctx, admit.Leader{Machine: s.machine, Read: s.read, Log: s.log}, admit.Submission{SubmitRequest: &r, ID: id, Account: found.account, OverRate: found.overRate})
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
	return workcall.SubmitResponse{Status: statusOf(result.Code), Known: result.Repeated}, nil
}

// findJob returns the job that a path names, or nil.
func findJob(v *workstate.View, location workcall.Location) *workstate.Job {
	return v.Job(jobIDOf(location))
}

// jobIDOf returns the id of the job that a path names.
func jobIDOf(location workcall.Location) string {
	return location.Path[strings.LastIndexByte(location.Path, '/')+1:]
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
		denied = v.JobAccess(r.Host, r.Path, jobIDOf(r.Location), r.Key)
		if denied != access.Allowed {
			response.Status = statusOfReason(denied)
			return
		}
		if job := findJob(v, r.Location); job != nil {
			response = workcall.JobResponse{Status: workcall.OK, Outcome: job.Outcome, Started: job.Started}
		}
	})
	s.logDenied(r.Location, denied)
	return response, err
}

// Cancel cancels a job. Its executing tasks are stopped afterwards.
func (s *Server) Cancel(ctx context.Context, r workcall.JobRequest) (workcall.CancelResponse, error) {
	id := jobIDOf(r.Location)
	denied, err := s.denied(ctx, r)
	if err != nil {
		return workcall.CancelResponse{}, err
	}
	if denied != access.Allowed {
		s.logDenied(r.Location, denied)
		return workcall.CancelResponse{Status: statusOfReason(denied)}, nil
	}
	result, err := s.propose(ctx, &workstate.Command{Cancel: &workstate.Cancel{ID: id, Host: r.Host, Path: r.Path, Key: r.Key}})
	if err != nil {
		return workcall.CancelResponse{}, err
	}
	s.log.Info("job cancelled", "job", id, "result", result.Code, "repeated", result.Repeated)
	return workcall.CancelResponse{Status: statusOf(result.Code)}, nil
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
			response.Status = statusOfReason(denied)
		case decision.Rest == "":
			response = workcall.PendingResponse{Status: workcall.OK, Pending: v.Pending(decision.Queue.Key())}
		}
		response.CatalogVersion = v.Catalog().Version
	})
	s.logDenied(r.Location, denied)
	return response, err
}
