package scheduler

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/pacing"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// runPhase is what the leader knows of a recorded run.
type runPhase uint8

const (
	// runUnknown: a former leader recorded the run; its order may or may
	// not have arrived.
	runUnknown runPhase = iota
	// runOrdering: the order is on its way.
	runOrdering
	// runOrdered: the worker has taken the order.
	runOrdered
	// runUnsure: the order got no answer, and is to be repeated.
	runUnsure
	// runStopping: the stop is on its way or is to be repeated.
	runStopping
	// runStopped: the worker has taken the stop; the run ends soon, or
	// never begins.
	runStopped
)

// Times of orders.
const (
	// orderRetry is the pause before an order is repeated.
	orderRetry = 200 * time.Millisecond
	// reportSlack is added to the time within which a report must show what
	// an order has done.
	reportSlack = 100 * time.Millisecond
)

// run is the leader's view of one recorded run.
type run struct {
	number int
	worker string
	phase  runPhase
	// seenIn is the number of the newest round whose state had the run.
	seenIn uint64
	// since is when the phase began.
	since time.Time
	// calling says that a call is on its way.
	calling bool
	// doubt says that a start got no answer, so that it may still arrive.
	doubt bool
	// percent is the progress that was shown last, since progressAt.
	percent    int
	progressAt time.Time
	// pace is the speed that the worker was told, in percent; pacing says
	// that a change is on its way, since pacedAt.
	pace    int
	pacing  bool
	pacedAt time.Time
}

func (r *run) enter(phase runPhase, now time.Time) {
	r.phase = phase
	r.since = now
}

// beginRun orders a run that was just recorded.
func (l *loop) beginRun(v *workstate.View, s *workstate.Start) {
	startedRuns.Inc()
	r := &run{number: s.Run, worker: s.Worker, pace: pacing.Full}
	l.runs[s.Task] = r
	l.order(v, s.Task, r, time.Now())
}

// order sends the start of a run, unless its worker leaves: an order that is
// repeated could arrive after the time that a leaving worker still takes them.
func (l *loop) order(v *workstate.View, id workload.TaskID, r *run, now time.Time) {
	w := l.workers[r.worker]
	if w == nil {
		return
	}
	if reg := v.Workers()[r.worker]; reg == nil || reg.Draining {
		// Due at once.
		r.enter(runStopping, time.Time{})
		return
	}
	order, ok := l.startOrder(v, id, r.number)
	if !ok {
		return
	}
	order.LeaseUntilMS = w.grant(now)
	order.Ticket = l.ticketFor(id, r.worker)
	r.enter(runOrdering, now)
	r.calling = true
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		answer, err := l.Workers.Start(ctx, w.address(), order)
		l.post(func(l *loop) { l.startAnswered(id, r, w, answer, err) })
	}()
}

// startOrder builds the order from the state, if the run is still the
// task's newest and its job open.
func (l *loop) startOrder(v *workstate.View, id workload.TaskID, number int) (order execution.StartOrder, ok bool) {
	job := v.Job(id.Job)
	if job == nil || job.Outcome != workstate.Open {
		return order, false
	}
	task := job.Task(id)
	if task == nil || task.Phase != workstate.Running || task.Run != number {
		return order, false
	}
	return execution.StartOrder{Task: id, Run: number, Payload: job.Spec.Payload, FencingToken: l.term, Checkpoint: checkpointOf(job, id)}, true
}

// checkpointOf returns what a task resumes from. That of any member is valid
// for a gang, and all members resume from the same.
func checkpointOf(job *workstate.Job, id workload.TaskID) string {
	if !job.Spec.Steps[id.Step].Gang {
		return job.Task(id).Checkpoint
	}
	for _, member := range job.Occurrences[id.Occurrence].Steps[id.Step].Tasks {
		if member.Checkpoint != "" {
			return member.Checkpoint
		}
	}
	return ""
}

// startAnswered takes the answer to a start.
func (l *loop) startAnswered(id workload.TaskID, r *run, w *worker, answer execution.Answer, err error) {
	now := time.Now()
	r.calling = false
	l.dirty = true
	if l.runs[id] != r {
		return
	}
	if err != nil {
		lostOrders.Inc()
		l.Log.Warn("start not answered", "task", id.String(), "run", r.number, "worker", r.worker, "error", err.Error())
		r.doubt = true
		r.enter(runUnsure, now)
		return
	}
	w.noteClock(answer.ClockMS, now)
	if answer.Refusal == execution.Accepted {
		r.enter(runOrdered, now)
		return
	}
	l.startRefused(id, r, w, answer.Refusal, now)
}

// startRefused decides what follows a refused start. Nothing was done by
// this order, but an earlier one without an answer may still arrive.
func (l *loop) startRefused(id workload.TaskID, r *run, w *worker, refusal execution.Refusal, now time.Time) {
	refusedOrders.Inc()
	l.Log.Info("start refused", "task", id.String(), "run", r.number, "worker", r.worker, "reason", refusal, "repeated", r.doubt)
	switch refusal {
	case execution.RefusedStaleRun:
		// The run has ended there; the worker's list of ends says how.
		r.enter(runOrdered, now)
		return
	case execution.RefusedLeaseExpired:
		r.enter(runUnsure, now)
		return
	case execution.RefusedFencingToken:
		r.enter(runUnsure, now)
		return
	case execution.RefusedTicket:
		l.dropTicket(id, r.worker)
	case execution.RefusedCapacity:
		w.pausedUntil = now.Add(orderRetry)
	default:
		w.pausedUntil = now.Add(refusalPause)
	}
	if r.doubt && refusal != execution.RefusedOtherIncarnation {
		r.enter(runStopping, now)
		return
	}
	l.end(id, r.number, workstate.EndInterrupted, "")
}

// stop tells the worker to end a run, or never to begin it.
func (l *loop) stop(id workload.TaskID, r *run, now time.Time) {
	w := l.workers[r.worker]
	if w == nil || r.calling {
		return
	}
	r.enter(runStopping, now)
	r.calling = true
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		answer, err := l.Workers.Stop(ctx, w.address(), id, r.number, l.term)
		l.post(func(l *loop) { l.stopAnswered(id, r, answer, err) })
	}()
}

func (l *loop) stopAnswered(id workload.TaskID, r *run, answer execution.Answer, err error) {
	now := time.Now()
	r.calling = false
	l.dirty = true
	if l.runs[id] != r {
		return
	}
	switch {
	case err != nil:
		lostOrders.Inc()
		l.Log.Warn("stop not answered", "task", id.String(), "run", r.number, "worker", r.worker, "error", err.Error())
		r.enter(runStopping, now)
	case answer.Refusal == execution.Accepted || answer.Refusal == execution.RefusedStaleRun:
		r.enter(runStopped, now)
	case answer.Refusal == execution.RefusedOtherIncarnation:
		l.end(id, r.number, workstate.EndInterrupted, "")
	default:
		l.Log.Warn("stop refused", "task", id.String(), "run", r.number, "worker", r.worker, "reason", answer.Refusal)
		r.enter(runStopping, now)
	}
}

// end queues the end of a run for the next commit. The first word on a run
// counts.
func (l *loop) end(id workload.TaskID, number int, kind workstate.EndKind, checkpoint string) {
	key := runKey{id, number}
	if _, known := l.ends[key]; !known {
		l.ends[key] = workstate.End{Task: id, Run: number, Kind: kind, Checkpoint: checkpoint}
	}
}

// stopOrphan stops a run that a worker reports and that is not recorded as
// the task's newest.
func (l *loop) stopOrphan(w *worker, key runKey, now time.Time) {
	if last, known := l.orphans[key]; known && now.Sub(last) < callTimeout {
		return
	}
	l.orphans[key] = now
	l.Log.Info("stopping a run that is not recorded", "task", key.task.String(), "run", key.run, "worker", w.reg.ID)
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		if _, err := l.Workers.Stop(ctx, w.address(), key.task, key.run, l.term); err != nil {
			l.Log.Warn("stop not answered", "task", key.task.String(), "run", key.run, "worker", w.reg.ID, "error", err.Error())
		}
	}()
}
