package scheduler

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/pacing"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// runPhase is the leader's knowledge of a recorded run.
type runPhase uint8

const (
	// runUnknown means that a former leader recorded the run. Its start order
	// may or may not have arrived.
	runUnknown runPhase = iota
	// runOrdering means that the start order is in flight.
	runOrdering
	// runOrdered means that the worker has accepted the start order, or has
	// reported that it knows the run.
	runOrdered
	// runRetrying means that the start order has to be repeated: it got no
	// answer, or was refused because of its lease or its fencing token.
	runRetrying
	// runStopping means that the stop order is in flight or has to be repeated.
	runStopping
	// runStopped means that the worker has accepted the stop order. The run
	// ends soon, or never starts.
	runStopped
)

// Times of orders.
const (
	// orderRetry is the pause before an order is repeated.
	orderRetry = 200 * time.Millisecond
	// reportSlack is added to the time within which a report must show the
	// effect of an order.
	reportSlack = 100 * time.Millisecond
)

// run is the leader's view of one recorded run.
type run struct {
	number int
	worker string
	// on is the worker, if the loop's table held it when it was last looked up.
	on *worker
	// ending is set while the end of the run waits for a commit.
	ending bool
	phase  runPhase
	// seenInRound is the number of the last round in which the state had the
	// run.
	seenInRound uint64
	// since is when the phase began.
	since time.Time
	// calling is set while a call about the run is in flight.
	calling bool
	// orderedAt is when the worker first accepted the start order, or was first
	// reported to know the run; zero before. acceptedClockMS is the worker's clock
	// when it accepted the order; 0 if that is not known.
	orderedAt       time.Time
	acceptedClockMS int64
	// settled is set once the worker is known to have survived the start: a report
	// that was requested at least settleTime later lists the run as executing, or
	// a heartbeat was sent at least settleTime later.
	settled bool
	// sent is set once this leader has sent a start order.
	sent bool
	// inherited is set if a former leader ordered the run, so that this one does
	// not know whether its worker has listed it long ago.
	inherited bool
	// lost is set once the loss of the run with its worker was looked at. blame is
	// the crash that the run may have caused, or nil.
	lost  bool
	blame *crash
	// unconfirmed is set if a start order got no answer or may have been sent by
	// a former leader, so that it may still arrive.
	unconfirmed bool
	// report is the newest report that was looked at. running and ended tell
	// whether it lists the run as executing, with the entry row, or as ended.
	report         *reportView
	row            execution.RunningTask
	running, ended bool
	// percent is the last reported progress, which was first reported at
	// progressAt.
	percent    int
	progressAt time.Time
	// speed is the last acknowledged speed of the task in percent. settingSpeed
	// is set while a new speed is being ordered, which was last done at
	// speedSetAt.
	speed        int
	settingSpeed bool
	speedSetAt   time.Time
}

func (r *run) enter(phase runPhase, now time.Time) {
	r.phase = phase
	r.since = now
	if phase == runOrdered && r.orderedAt.IsZero() {
		r.orderedAt = now
	}
}

// startRun sends the start order of a run that was just recorded.
func (l *loop) startRun(v *workstate.View, s *workstate.Start) {
	startedRuns.Inc()
	r := &run{number: s.Run, worker: s.Worker, speed: pacing.Full}
	l.runs[s.Task] = r
	l.sendStart(v, s.Task, r, time.Now())
}

// sendStart sends the start order of a run, also again, unless the worker may get
// none any more.
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
	if w.overCapacity {
		l.withdrawStart(r, w)
		return
	}
	order, ok := l.startOrder(v, id, r.number)
	if !ok {
		return
	}
	if !l.inContact() {
		l.Log.Warn("start order held back, no contact to a majority", "task", id.String(), "run", r.number, "worker", r.worker)
		r.enter(runRetrying, now)
		return
	}
	order.LeaseUntilMS = w.grantLease(now)
	order.Ticket = l.ticketFor(id, r.worker)
	r.enter(runOrdering, now)
	r.calling, r.sent = true, true
	address := w.address()
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		answer, err := l.Workers.Start(ctx, address, order)
		l.post(func(l *loop) { l.handleStartAnswer(id, r, w, answer, err) })
	}()
}

// withdrawStart stops a run whose start order must not be sent because its worker's
// capacity has shrunk. An earlier order may have been executed without an answer, so
// that a report newer than it has to be there first.
func (l *loop) withdrawStart(r *run, w *worker) {
	if w.report != nil && w.report.sentAt.After(r.since) {
		// The stop order is due at once.
		r.enter(runStopping, time.Time{})
	}
}

// startOrder builds the start order from the state. It returns false unless the
// run is the task's newest, no later leader has recorded it, and the job is open.
func (l *loop) startOrder(v *workstate.View, id workload.TaskID, number int) (order execution.StartOrder, ok bool) {
	job := v.Job(id.Job)
	if job == nil || job.Outcome != workstate.Open {
		return order, false
	}
	task := job.Task(id)
	if task == nil || task.Phase != workstate.Running || task.Run != number || task.Term > l.term {
		return order, false
	}
	return execution.StartOrder{Task: id, Run: number, Payload: job.Spec.Payload, FencingToken: l.term, Checkpoint: checkpointOf(job, id)}, true
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
	if l.runs[id] != r {
		return
	}
	if err == nil && answer.Refusal == execution.Accepted {
		r.recordAcceptance(w, answer.ClockMS)
		w.recordClock(answer.ClockMS, now)
		r.enter(runOrdered, now)
		return
	}
	l.dirty = true
	if err != nil {
		lostOrders.Inc()
		l.Log.Warn("start order unanswered", "task", id.String(), "run", r.number, "worker", r.worker, "error", err.Error())
		r.unconfirmed = true
		r.enter(runRetrying, now)
		return
	}
	w.recordClock(answer.ClockMS, now)
	r.unconfirmed = r.unconfirmed || answer.Repeated || answer.Refusal == execution.RefusedOther
	l.handleStartRefusal(id, r, w, answer.Refusal, now)
}

// handleStartRefusal handles the refusal of a start order. The refused order
// had no effect, but an earlier one without an answer may still arrive.
func (l *loop) handleStartRefusal(id workload.TaskID, r *run, w *worker, refusal execution.Refusal, now time.Time) {
	refusedOrders.Inc()
	l.Log.Info("start order refused", "task", id.String(), "run", r.number, "worker", r.worker, "reason", refusal, "repeated", r.unconfirmed)
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

// sendStop orders a worker to end a run, or never to start it.
func (l *loop) sendStop(id workload.TaskID, r *run, now time.Time) {
	w := l.workers[r.worker]
	if w == nil || r.calling {
		return
	}
	r.enter(runStopping, now)
	r.calling = true
	address := w.address()
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		answer, err := l.Workers.Stop(ctx, address, id, r.number, l.term)
		l.post(func(l *loop) { l.handleStopAnswer(id, r, answer, err) })
	}()
}

func (l *loop) handleStopAnswer(id workload.TaskID, r *run, answer execution.Answer, err error) {
	now := time.Now()
	r.calling = false
	l.dirty = true
	if l.runs[id] != r {
		return
	}
	switch {
	case err != nil:
		lostOrders.Inc()
		l.Log.Warn("stop order unanswered", "task", id.String(), "run", r.number, "worker", r.worker, "error", err.Error())
		r.enter(runStopping, now)
	case answer.Refusal == execution.Accepted || answer.Refusal == execution.RefusedStaleRun:
		r.enter(runStopped, now)
	case answer.Refusal == execution.RefusedOtherWorker:
		l.queueEnd(id, r.number, workstate.EndInterrupted, "")
	default:
		l.Log.Warn("stop order refused", "task", id.String(), "run", r.number, "worker", r.worker, "reason", answer.Refusal)
		r.enter(runStopping, now)
	}
}

// queueEnd queues the end of a run for the next commit. Only the first end of a
// run counts.
func (l *loop) queueEnd(id workload.TaskID, number int, kind workstate.EndKind, checkpoint string) {
	key := runKey{id, number}
	if _, known := l.ends[key]; known {
		return
	}
	end := workstate.End{Task: id, Run: number, Kind: kind, Checkpoint: checkpoint}
	if r := l.runs[id]; r != nil && r.number == number {
		r.judge(&end)
	}
	l.setEnd(key, end)
}

// setEnd queues an end, or replaces the queued one.
func (l *loop) setEnd(key runKey, end workstate.End) {
	l.ends[key] = end
	l.markEnding(key, true)
}

// dropEnd removes an end that was committed.
func (l *loop) dropEnd(key runKey) {
	delete(l.ends, key)
	l.markEnding(key, false)
}

// markEnding records in the leader's view of a run whether its end is queued.
func (l *loop) markEnding(key runKey, ending bool) {
	if r := l.runs[key.task]; r != nil && r.number == key.run {
		r.ending = ending
	}
}

// stopOrphan stops a run that a worker reports but that is not recorded as the
// task's newest run.
func (l *loop) stopOrphan(w *worker, key runKey, now time.Time) {
	if last, known := l.orphans[key]; known && now.Sub(last) < callTimeout {
		return
	}
	l.orphans[key] = now
	l.Log.Info("stopping unrecorded run", "task", key.task.String(), "run", key.run, "worker", w.reg.ID)
	address := w.address()
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		if _, err := l.Workers.Stop(ctx, address, key.task, key.run, l.term); err != nil {
			l.Log.Warn("stop order unanswered", "task", key.task.String(), "run", key.run, "worker", w.reg.ID, "error", err.Error())
		}
	}()
}
