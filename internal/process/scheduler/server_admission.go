package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/scheduler/admit"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/overload"
)

// Metrics of the admission of jobs.
var (
	refusedTooLate       = metrics.NewCounter(`arbutus_submissions_refused_total{reason="too_late"}`)
	refusedOverRate      = metrics.NewCounter(`arbutus_submissions_refused_total{reason="over_rate"}`)
	refusedAgain         = metrics.NewCounter(`arbutus_submissions_refused_total{reason="late_copy"}`)
	admissionWaitSeconds = metrics.NewHistogram(`arbutus_admission_wait_seconds`)
)

// lateCopyRetryAfter is the Retry-After of a late copy of a refused call. Its caller has
// been answered.
const lateCopyRetryAfter = time.Second

// estimate is a verdict about a job and what it was made from.
type estimate struct {
	overload.Verdict
	job  overload.Job
	pool overload.Pool
	// age is the age of the snapshot.
	age time.Duration
}

// admit decides whether a job that the state does not have is proposed, under the
// returned proposal, or answered at once. A job that is refused never runs from this
// submission.
func (s *Server) admit(ctx context.Context, r *workcall.SubmitRequest, look func(*workstate.View), found *submission) (*admit.Proposal, workcall.SubmitResponse, error) {
	verdict := s.estimate(r, found)
	lateCopy := s.gate.WasRefused(r.Attempt, time.Now())
	if verdict.Refused == "" && !lateCopy {
		if proposal := s.gate.Begin(found.id, r.Attempt, time.Now()); proposal != nil {
			return proposal, workcall.SubmitResponse{}, nil
		}
		lateCopy = true
	}
	// The job may have been accepted by a former leader.
	if err := s.read(ctx, look); err != nil {
		return nil, workcall.SubmitResponse{}, err
	}
	if lateCopy && !found.known {
		refusedAgain.Inc()
		s.log.Info("job refused", "job", found.id, "path", r.Path, "reason", "the attempt was refused before")
		return nil, refusal("the call was refused before", lateCopyRetryAfter), nil
	}
	known := func() bool {
		s.machine.Read(look)
		return found.known
	}
	switch outcome := s.gate.Refuse(found.id, r.Attempt, known, time.Now()); {
	case outcome.InFlight != nil:
		return s.await(ctx, r, found, outcome.InFlight)
	case outcome.Accepted:
		// A proposal of a job that the state has is answered without effect.
		return s.gate.Begin(found.id, "", time.Now()), workcall.SubmitResponse{}, nil
	}
	s.recordRefusal(r, found, &verdict)
	return nil, refusal(fmt.Sprintf("%s, the estimated wait is %d ms", verdict.Refused, verdict.Wait.Milliseconds()), verdict.RetryAfter), nil
}

func refusal(reason string, after time.Duration) workcall.SubmitResponse {
	return workcall.SubmitResponse{Status: workcall.Overloaded, RetryAfterMS: after.Milliseconds(), Reason: reason}
}

// await answers a submission with the answer to a proposal of the same job.
func (s *Server) await(ctx context.Context, r *workcall.SubmitRequest, found *submission, inFlight *admit.Proposal) (*admit.Proposal, workcall.SubmitResponse, error) {
	select {
	case <-ctx.Done():
		return nil, workcall.SubmitResponse{}, &link.Fault{Code: workcall.CodeUnknown, Message: "the job is being proposed: " + ctx.Err().Error()}
	case <-inFlight.Done():
	}
	answer, err := inFlight.Answer()
	s.log.Info("job answered like a submission in flight", "job", found.id, "path", r.Path, "status", answer.Status)
	return nil, answer, err
}

// estimate judges a submission by the newest load that is known.
func (s *Server) estimate(r *workcall.SubmitRequest, found *submission) estimate {
	now := time.Now()
	snapshot := s.load.Newest(now)
	if snapshot == nil {
		return estimate{}
	}
	e := estimate{age: now.Sub(snapshot.At), job: overload.Job{ID: found.id, Account: found.account, OverRate: found.overRate}}
	queued := false
	s.machine.Read(func(v *workstate.View) {
		queue, _ := v.Catalog().Match(r.Host, r.Path)
		if queue == nil || !refusesForBacklog(v.Catalog()) || snapshot.Pools[queue.Service] == nil {
			return
		}
		queued = true
		e.pool = *snapshot.Pools[queue.Service]
		e.job.Priority, e.job.Weight = queue.Priority, accountWeight(v, found.account)
		e.job.Assess(&r.Spec, queue, snapshot.Durations[queue.Key()], e.pool.Room)
	})
	if queued {
		e.Verdict = overload.Decide(&e.pool, &e.job)
		admissionWaitSeconds.Update(e.Wait.Seconds())
	}
	return e
}

// recordRefusal logs and counts a refusal.
func (s *Server) recordRefusal(r *workcall.SubmitRequest, found *submission, e *estimate) {
	switch e.Refused {
	case overload.OverRate:
		refusedOverRate.Inc()
	default:
		refusedTooLate.Inc()
	}
	s.log.Info("job refused", "job", found.id, "path", r.Path, "account", found.account, "reason", e.Refused,
		"priority", e.job.Priority, "over_rate", e.job.OverRate, "backlog_core_s", e.Backlog, "work_core_s", e.job.Work,
		"capacity_mcpu", e.pool.Room.MilliCPU, "planned_mcpu", e.pool.Planned.MilliCPU, "wait_ms", e.Wait.Milliseconds(),
		"chain_ms", e.job.Chain.Milliseconds(), "objective_ms", e.job.Objective.Milliseconds(),
		"snapshot_age_ms", e.age.Milliseconds(), "retry_after_ms", e.RetryAfter.Milliseconds())
}

// endProposal records the answer to a proposal.
func (s *Server) endProposal(p *admit.Proposal, response workcall.SubmitResponse, err error) {
	var fault *link.Fault
	uncertain := err != nil && !(errors.As(err, &fault) && (fault.Code == workcall.CodeUnavailable || fault.Code == link.CodeNotLeader))
	p.End(response, err, uncertain, time.Now())
}
