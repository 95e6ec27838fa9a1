package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
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
	// plannedAt is when this leader proposed the start; zero for one of a former leader.
	plannedAt time.Time
	// since is when the phase began.
	since time.Time
	// calling is set while a call about the run is in flight.
	calling bool
	// orderedAt is when the worker first accepted the start order, or was first
	// reported to know the run; zero before. acceptedClockMS is the worker's clock
	// when it accepted the order, or when it was first reported to execute the run; 0 if
	// neither is known.
	orderedAt       time.Time
	acceptedClockMS int64
	// settled is set once the worker is known to have survived the start: a report
	// that was requested at least settleTime later lists the run as executing, or
	// a heartbeat was sent at least settleTime later.
	settled bool
	// outlived is set once the worker is known to have been up promptCrashTime after
	// the start.
	outlived bool
	// sent is set once this leader has sent a start order.
	sent bool
	// inherited is set if a former leader ordered the run, so that this one does
	// not know whether its worker has listed it long ago.
	inherited bool
	// lost is set once the loss of the run with its worker was looked at. blame is
	// the crash that the run may have caused, or nil. uncertain is set if it is not
	// certain that the run was starting at that time.
	lost      bool
	blame     *crash
	uncertain bool
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

// expectedRest returns how long the run is expected to execute from now on, by its
// reported progress or else by the caller's estimate.
func (r *run) expectedRest(estimate time.Duration, now time.Time) time.Duration {
	if r.orderedAt.IsZero() {
		return estimate
	}
	elapsed := now.Sub(r.orderedAt)
	if r.percent > 0 {
		return elapsed * time.Duration(100-r.percent) / time.Duration(r.percent)
	}
	return max(0, estimate-elapsed)
}

// queueEnd queues the end of a run for the next commit.
func (l *loop) queueEnd(id workload.TaskID, number int, kind workstate.EndKind, checkpoint string) {
	l.queue(workstate.End{Task: id, Run: number, Kind: kind, Checkpoint: checkpoint})
}

// queueUnreportedEnd queues the end of a run whose worker has not reported it, with
// the last known checkpoint.
func (l *loop) queueUnreportedEnd(id workload.TaskID, number int, w *worker) {
	checkpoint := w.lastCheckpoint(runKey{id, number})
	l.queue(workstate.End{Task: id, Run: number, Kind: workstate.EndInterrupted, Checkpoint: checkpoint, Unreported: true})
}

// queue queues an end for the next commit. Only the first end of a run counts.
func (l *loop) queue(end workstate.End) {
	key := runKey{end.Task, end.Run}
	if l.endQueued(key) {
		return
	}
	if r := l.runs.Get(end.Task); r != nil && r.number == end.Run {
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
	if r := l.runs.Get(key.task); r != nil && r.number == key.run {
		r.ending = ending
	}
}
