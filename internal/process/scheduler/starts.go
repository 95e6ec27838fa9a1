package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/pacing"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// startRun sends the start order of a run that was just recorded and was proposed at
// plannedAt.
func (l *loop) startRun(v *workstate.View, s *workstate.Start, plannedAt time.Time) {
	startedRuns.Inc()
	r := &run{number: s.Run, worker: s.Worker, speed: pacing.Full, plannedAt: plannedAt}
	l.runs.Set(s.Task, r)
	l.sendStart(v, s.Task, r, time.Now())
}

// sendStart sends the start order of a run, also again, unless the worker may get
// none any more. Without room for it the order stays due.
func (l *loop) sendStart(v *workstate.View, id workload.TaskID, r *run, now time.Time) {
	w := l.workers[r.worker]
	if w == nil {
		return
	}
	if !w.mayGetStarts(v.Workers()[r.worker]) {
		// The stop order is due at once.
		r.enter(runStopping, time.Time{})
		return
	}
	if !l.mayOrder(w) {
		w.heldStarts++
		return
	}
	switch known := l.capacityKnown(w, now); {
	case w.overCapacity, !known && now.Sub(w.lease.KnownSince()) > l.Limits.maxCapacityAge():
		l.withdrawStart(r, w)
		return
	case !known:
		// This leader is about to learn of the worker's heartbeats.
		return
	}
	order, ok := l.startOrder(v, id, r.number)
	if !ok {
		return
	}
	order.FencingToken = uint64(w.token)
	if !l.inContact() {
		l.Log.Warn("start order held back, no contact to a majority", "task", id.String(), "run", r.number, "worker", r.worker, "incarnation", w.reg.Incarnation)
		r.enter(runRetrying, now)
		return
	}
	order.LeaseUntilMS = w.lease.Grant(now)
	order.Ticket = l.ticketFor(id, r.worker)
	r.enter(runOrdering, now)
	r.calling, r.sent = true, true
	execution.StartInBackground(l.ctx, l.Workers, w.address(), order, callTimeout, l.countOrder(w, func(l *loop, answer execution.Answer, err error) {
		l.handleStartAnswer(id, r, w, answer, err)
	}))
}

// withdrawStart stops a run whose start order must not be sent because its worker's
// capacity has shrunk, or may have. An earlier order may have been executed without an answer, so
// that a report newer than it has to be there first.
func (l *loop) withdrawStart(r *run, w *worker) {
	if w.report != nil && w.report.sentAt.After(r.since) {
		// The stop order is due at once.
		r.enter(runStopping, time.Time{})
	}
}

// startOrder builds the start order from the state. It returns false unless the
// run is the task's newest and needed, no later leader has recorded it, and the job
// is open.
func (l *loop) startOrder(v *workstate.View, id workload.TaskID, number int) (order execution.StartOrder, ok bool) {
	job := v.Job(id.Job)
	if job == nil || job.Outcome != workstate.Open {
		return order, false
	}
	task := job.Task(id)
	if task == nil || task.Phase != workstate.Running || task.Succeeded || task.Run != number || task.Term > l.term {
		return order, false
	}
	return execution.StartOrder{Task: id, Run: number, Payload: job.Spec.Payload, Checkpoint: checkpointOf(job, id)}, true
}

// checkpointOf returns the checkpoint from which a task resumes. All tasks of a
// gang resume from the same checkpoint; that of any of them is valid.
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

// handleStartAnswer handles the answer to a start order.
func (l *loop) handleStartAnswer(id workload.TaskID, r *run, w *worker, answer execution.Answer, err error) {
	now := time.Now()
	r.calling = false
	l.recordRefusal(w, "start", answer.Refusal)
	switch {
	case answer.Refusal == execution.RefusedOtherWorker:
		// The clock is that of a worker with another id, which does nothing of what it is told.
		answer.ClockMS = 0
	case err == nil && !w.lease.Continues(answer.ClockMS, now, maxAnswerAge):
		l.coverOther(w, answer.ClockMS, now)
		answer.ClockMS = 0
	}
	if l.runs.Get(id) != r {
		return
	}
	if err == nil && answer.Refusal == execution.Accepted {
		r.recordAcceptance(w, answer.ClockMS)
		w.lease.Record(answer.ClockMS, now)
		r.enter(runOrdered, now)
		return
	}
	l.dirty = true
	if err != nil {
		lostOrders.Inc()
		l.Log.Warn("start order unanswered", "task", id.String(), "run", r.number, "worker", r.worker, "incarnation", w.reg.Incarnation, "token", uint64(w.token), "error", err.Error())
		r.unconfirmed = true
		r.enter(runRetrying, now)
		return
	}
	w.lease.Record(answer.ClockMS, now)
	r.unconfirmed = r.unconfirmed || answer.Repeated || answer.Refusal == execution.RefusedOther
	l.handleStartRefusal(id, r, w, answer.Refusal, now)
}

// coverOther handles the answer of another incarnation to a call for a worker. The next
// report tells which one it is. Until then no further call gives it a lease; those in
// flight may.
func (l *loop) coverOther(w *worker, clockMS int64, now time.Time) {
	l.Log.Info("another incarnation has answered a call", "worker", w.reg.ID, "incarnation", w.reg.Incarnation, "clock_ms", clockMS, "slowest_clock_ms", w.lease.SlowestMS(now))
	l.suspendCalls(w, now)
	w.nextWatch = now
}

// suspendCalls keeps a worker from orders and leases until it answers a later watch, as
// another incarnation has answered in its place, and covers the lease of that one.
func (l *loop) suspendCalls(w *worker, now time.Time) {
	w.superseded, w.otherAnsweredAt = true, now
	w.lease.CoverOther(now, callTimeout+l.Limits.LongestLease)
}

// handleStartRefusal handles the refusal of a start order. The refused order
// had no effect, but an earlier one without an answer may still arrive.
func (l *loop) handleStartRefusal(id workload.TaskID, r *run, w *worker, refusal execution.Refusal, now time.Time) {
	refusedOrders.Inc()
	l.Log.Info("start order refused", "task", id.String(), "run", r.number, "worker", r.worker, "incarnation", w.reg.Incarnation, "token", uint64(w.token), "reason", refusal, "repeated", r.unconfirmed)
	switch refusal {
	case execution.RefusedStaleRun:
		// The run has ended. The reported ends tell how.
		r.enter(runOrdered, now)
		return
	case execution.RefusedLeaseExpired:
		r.enter(runRetrying, now)
		return
	case execution.RefusedFencingToken:
		r.enter(runRetrying, now)
		return
	case execution.RefusedTicket:
		l.removeTicket(id, r.worker)
	case execution.RefusedCapacity:
		w.pausedUntil = now.Add(orderRetry)
	default:
		w.pausedUntil = now.Add(refusalPause)
	}
	if r.unconfirmed && refusal != execution.RefusedOtherWorker {
		r.enter(runStopping, now)
		return
	}
	l.queueEnd(id, r.number, workstate.EndInterrupted, "")
}
