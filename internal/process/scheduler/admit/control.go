package admit

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/access"
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

// Control decides about the submissions that reach a process. The zero value knows no
// load and no limit of memory, and accepts all jobs.
type Control struct {
	Load   Board
	Memory Memory
	gate   gate
}

// Leader is what a decision needs of the leader's process.
type Leader struct {
	Machine *workstate.Machine
	// Read calls a function with a state that has all that was committed before the call.
	Read func(context.Context, func(*workstate.View)) error
	Log  *slog.Logger
}

// Submission is a submitted job.
type Submission struct {
	*workcall.SubmitRequest
	ID string
	// Account is the caller's account, or "". OverRate is set if the job exceeds its rate.
	Account  string
	OverRate bool
}

// estimate is a verdict about a job and what it was made from.
type estimate struct {
	overload.Verdict
	job  overload.Job
	pool overload.Pool
	// age is the age of the snapshot.
	age time.Duration
}

// rejection is the answer to a job that is refused.
type rejection struct {
	response workcall.SubmitResponse
	// record logs and counts it.
	record func(*slog.Logger)
}

// judge claims the memory of a job, or refuses the job by the newest load or for lack of
// memory.
func (c *Control) judge(l Leader, s *Submission) (*claim, *rejection) {
	if e := c.estimate(l, *s); e.Refused != "" {
		return nil, e.rejection(s)
	}
	claimed, verdict := c.Memory.claim(l.Machine, s, time.Now())
	if verdict.Refused != "" {
		return nil, memoryRejection(verdict, s)
	}
	return claimed, nil
}

// Admit decides whether a job that the state does not have is proposed, under the
// returned proposal, or answered at once. A job that is refused never runs from this
// submission. The error is that of Leader.Read, or a *link.Fault.
func (c *Control) Admit(ctx context.Context, l Leader, s Submission) (*Proposal, workcall.SubmitResponse, error) {
	claimed, rejected := c.judge(l, &s)
	lateCopy := c.gate.wasRefused(s.Attempt, time.Now())
	if rejected == nil && !lateCopy {
		if proposal := c.gate.begin(s.ID, s.Attempt, time.Now()); proposal != nil {
			proposal.claim = claimed
			return proposal, workcall.SubmitResponse{}, nil
		}
		lateCopy = true
	}
	claimed.release()
	has := false
	look := func(v *workstate.View) { has = v.JobAt(s.Host, s.Path) != nil }
	known := func() bool {
		l.Machine.Read(look)
		return has
	}
	for {
		// The job may have been accepted by a former leader, or by the next one during the wait.
		if err := l.Read(ctx, look); err != nil {
			return nil, workcall.SubmitResponse{}, err
		}
		if !has && (lateCopy || rejected == nil) {
			refusedAgain.Inc()
			l.Log.Info("job refused", "job", s.ID, "path", s.Path, "reason", "the attempt was refused before")
			return nil, refusal("the call was refused before", lateCopyRetryAfter), nil
		}
		outcome := c.gate.refuse(s.ID, s.Attempt, known, time.Now())
		if outcome.accepted {
			// A proposal of a job that the state has is answered without effect.
			return c.gate.begin(s.ID, "", time.Now()), workcall.SubmitResponse{}, nil
		}
		if outcome.inFlight == nil {
			break
		}
		if answered, response, err := await(ctx, l, s, outcome.inFlight); answered {
			return nil, response, err
		}
	}
	rejected.record(l.Log)
	return nil, rejected.response, nil
}

func refusal(reason string, after time.Duration) workcall.SubmitResponse {
	return workcall.SubmitResponse{Status: workcall.Overloaded, RetryAfterMS: after.Milliseconds(), Reason: reason}
}

// await waits for the answer to a proposal of the same job, and reports whether it answers
// the submission too. A refusal does not, nor does an acceptance if the submission's key does
// not allow the repetition.
func await(ctx context.Context, l Leader, s Submission, inFlight *Proposal) (answered bool, response workcall.SubmitResponse, err error) {
	select {
	case <-ctx.Done():
		return true, response, &link.Fault{Code: workcall.CodeUnknown, Message: "the job is being proposed: " + ctx.Err().Error()}
	case <-inFlight.done:
	}
	if inFlight.refused() || inFlight.err == nil && !mayRepeat(l, s) {
		return false, response, nil
	}
	l.Log.Info("job answered like a submission in flight", "job", s.ID, "path", s.Path, "status", inFlight.response.Status)
	return true, inFlight.response, inFlight.err
}

// mayRepeat reports whether the submission repeats that of a job that the state has, and
// its key allows that.
func mayRepeat(l Leader, s Submission) (allowed bool) {
	l.Machine.Read(func(v *workstate.View) {
		job := v.JobAt(s.Host, s.Path)
		allowed = job != nil && v.RepetitionAccess(job, s.Key) == access.Allowed
	})
	return allowed
}

// estimate judges a submission by the newest load that is known.
func (c *Control) estimate(l Leader, s Submission) estimate {
	now := time.Now()
	snapshot := c.Load.Newest(now)
	if snapshot == nil {
		return estimate{}
	}
	e := estimate{age: now.Sub(snapshot.At), job: overload.Job{ID: s.ID, Account: s.Account, OverRate: s.OverRate}}
	known := false
	l.Machine.Read(func(v *workstate.View) {
		queue, _ := v.Catalog().Match(s.Host, s.Path)
		if queue == nil || !RefusesForBacklog(v.Catalog()) || snapshot.Pools[queue.Service] == nil {
			return
		}
		known = true
		e.pool = *snapshot.Pools[queue.Service]
		e.job.Priority, e.job.Weight = queue.Priority, v.Catalog().Account(s.Account).ShareWeight()
		e.job.Assess(&s.Spec, queue, snapshot.Durations[queue.Key()], e.pool.Room)
	})
	if known {
		e.Verdict = overload.Decide(&e.pool, &e.job)
		admissionWaitSeconds.Update(e.Wait.Seconds())
	}
	return e
}

// rejection returns the answer to a job that is refused by its estimate.
func (e *estimate) rejection(s *Submission) *rejection {
	reason := fmt.Sprintf("%s, the estimated wait is %d ms", e.Refused, e.Wait.Milliseconds())
	return &rejection{response: refusal(reason, e.RetryAfter), record: func(log *slog.Logger) { e.record(log, s) }}
}

// record logs and counts a refusal.
func (e *estimate) record(log *slog.Logger, s *Submission) {
	switch e.Refused {
	case overload.OverRate:
		refusedOverRate.Inc()
	default:
		refusedTooLate.Inc()
	}
	log.Info("job refused", "job", s.ID, "path", s.Path, "account", s.Account, "reason", e.Refused,
		"priority", e.job.Priority, "over_rate", e.job.OverRate, "backlog_core_s", e.Backlog, "work_core_s", e.job.Work,
		"capacity_mcpu", e.pool.Room.MilliCPU, "planned_mcpu", e.pool.Planned.MilliCPU, "wait_ms", e.Wait.Milliseconds(),
		"chain_ms", e.job.Chain.Milliseconds(), "objective_ms", e.job.Objective.Milliseconds(),
		"snapshot_age_ms", e.age.Milliseconds(), "retry_after_ms", e.RetryAfter.Milliseconds())
}
