package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/fencing"
	"arbutusward.example/arbutusward/internal/process/workerlease"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/health"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Times of calls to workers.
const (
	// busyWatchWait is how long a worker that executes runs delays a report that
	// has no new ends: the reports also tell the progress of its runs.
	// idleWatchWait is the same for a worker without runs.
	busyWatchWait = 500 * time.Millisecond
	idleWatchWait = time.Second
	// callTimeout is the timeout of an order, and of a watch after its wait.
	callTimeout = 500 * time.Millisecond
	// watchRetry is the pause after a watch without an answer.
	watchRetry = 200 * time.Millisecond
	// rowsAge is the age of the last report with all runs of a worker within
	// which a report of ends may leave them out. They tell the progress of runs,
	// which is looked at about as often.
	rowsAge = 400 * time.Millisecond
	// maxAnswerAge is the age of the newest answer to a watch beyond which a
	// worker gets no new tasks.
	maxAnswerAge = idleWatchWait + callTimeout + 100*time.Millisecond
	// lostAfter is the time without an answer or heartbeat after which a worker
	// is deregistered. It covers several heartbeats and is longer than a lease.
	// A worker that is still alive registers again.
	lostAfter = 8 * time.Second
	// refusalPause is how long a worker gets no new tasks after it refused one
	// for a reason of its own.
	refusalPause = time.Second
)

// runKey identifies one run.
type runKey struct {
	task workload.TaskID
	run  int
}

// worker is what the leader knows about one incarnation of a worker.
type worker struct {
	reg workstate.Worker
	// token is the fencing token of the calls for the incarnation from now on, watchToken
	// that of the last watch.
	token, watchToken fencing.Token
	// removed is set once the loop's table holds the incarnation no longer.
	removed bool
	// load is the load in the last round that looked at it.
	load workerLoad
	// rack names the worker's rack.
	rack string
	// enforcesCapacity is set if the worker refuses what does not fit.
	enforcesCapacity bool
	// contacted is set if the worker has answered this leader, after which it
	// accepts no calls of former leaders, nor late ones for former incarnations.
	contacted bool
	// lease bounds the leases that the incarnation may hold.
	lease workerlease.Bound
	// reportedEnd is the number of the newest end that the worker has reported.
	// All that follows from the ends up to ackedEnd is committed.
	reportedEnd, ackedEnd int64
	// requestedAck is the ackedEnd as of the last watch, confirmedAck that of the last
	// watch that carried it and was answered. It is not sent again: a late watch could
	// take note of ends of the next incarnation.
	requestedAck, confirmedAck int64
	// unresponsive is set if the last watch failed or was refused.
	unresponsive bool
	// failedAt is when the first watch since the last answer failed.
	failedAt time.Time
	// expiryLoggedFor is the failedAt of the silence whose end of leases was logged.
	expiryLoggedFor time.Time
	// listedEnded is set if a list of VMs has shown that the incarnation has ended,
	// and it has not answered since.
	listedEnded bool
	// answeredAt is when the worker last answered a watch, heartbeatAt when its
	// last heartbeat was received.
	answeredAt, heartbeatAt time.Time
	// heartbeatClockMS is the worker's clock in the newest heartbeat of this
	// incarnation; 0 if there was none.
	heartbeatClockMS int64
	// reportClockMS is the worker's clock in the newest report that names this
	// incarnation; 0 if there was none.
	reportClockMS int64
	// ordersInFlight counts the orders whose outcome is awaited, heldStarts the recorded runs
	// whose start order was held back since the last round began.
	ordersInFlight, heldStarts int
	// watching is set while a watch is in flight. The next one is not sent
	// before nextWatch.
	watching  bool
	nextWatch time.Time
	// deregistering is set while the result of a proposed deregistration of the
	// worker is unknown. It gets no tasks until then: they would count as ended
	// with it, although it may be alive.
	deregistering bool
	// superseded is set once another incarnation has answered in this one's place.
	// Until that is registered, it gets no orders for this one. otherAnsweredAt is when
	// one did that is not known to be a later one.
	superseded      bool
	otherAnsweredAt time.Time
	// unregistered is a lower incarnation that has answered in this one's place, or 0.
	unregistered int64
	// report is the newest report that lists what the worker executes, with the
	// ends of later reports; nil before the first one.
	report *reportView
	// unreadableRows is the number of rows of the last report that could not be read.
	unreadableRows int
	// endsOnly is set if the last report left out what the worker executes.
	endsOnly bool
	// overCapacity is set if the recorded runs took more than the capacity in the
	// last round, as they may after it has shrunk.
	overCapacity bool
	// settlingRound is the number of the last round in which a suspect may have
	// been starting on the worker.
	settlingRound uint64
	// pausedUntil is the time before which the worker gets no new tasks.
	pausedUntil time.Time
	// speed is the desired speed of the worker's best-effort tasks in percent. It
	// was last chosen at speedSetAt.
	speed      int
	speedSetAt time.Time
	// history tells whether the worker seems to fail every run.
	history health.RunHistory
}

// workerLoad is what executes on a worker, as of one round.
type workerLoad struct {
	// round is the number of the round.
	round uint64
	// used is the capacity in use.
	used workload.Resources
	// runs counts the recorded runs that are not ending, in a round that plans the
	// fleet. listed counts those of them that the newest report lists as executing.
	runs, listed int
	// longRunning lists the executing long-running tasks, in a round that plans the
	// fleet.
	longRunning []longRunningTask
	// idleIn is the expected time until the runs have ended that neither are long-running
	// nor can resume elsewhere, in a round that plans the fleet.
	idleIn time.Duration
}

// reportView is a report indexed by run.
type reportView struct {
	// sentAt is when the report was requested.
	sentAt time.Time
	// clockMS is the worker's clock in the report, if that names its incarnation.
	clockMS int64
	running map[runKey]execution.RunningTask
	ended   map[runKey]execution.EndedRun
	// moreEnds is set if a run that is in neither list may have ended.
	moreEnds bool
}

// addEnds adds the ends of a later report that lists nothing else. It does not
// make the view younger.
func (v *reportView) addEnds(r *execution.Report) {
	for _, row := range r.Ended {
		key := runKey{row.Task, row.Run}
		v.ended[key] = row
		delete(v.running, key)
	}
}

func newReportView(sentAt time.Time, r *execution.Report) *reportView {
	view := &reportView{sentAt: sentAt, moreEnds: r.MoreEnds, running: map[runKey]execution.RunningTask{}, ended: map[runKey]execution.EndedRun{}}
	if r.Incarnation > 0 {
		view.clockMS = r.ClockMS
	}
	for _, row := range r.Running {
		view.running[runKey{row.Task, row.Run}] = row
	}
	for _, row := range r.Ended {
		view.ended[runKey{row.Task, row.Run}] = row
	}
	return view
}

// newestEnd returns the highest number of the reported ends.
func newestEnd(r *execution.Report) int64 {
	newest := int64(0)
	for i := range r.Ended {
		newest = max(newest, r.Ended[i].Number)
	}
	return newest
}

func (w *worker) address() execution.WorkerAddress {
	return execution.WorkerAddress{ID: w.reg.ID, Address: w.reg.Address}
}

// answering reports whether something answered the last watch at the worker's
// address. It may be a later incarnation, whose registration is not known yet.
func (w *worker) answering() bool { return w.contacted && !w.unresponsive }

// mayGetOrders reports whether this incarnation may be sent orders about its runs.
// Before the first contact it may still obey a former leader. A worker that does
// not answer may get an order nonetheless.
func (w *worker) mayGetOrders() bool { return w.contacted && !w.superseded }

// inTouch reports whether this incarnation answered the last watch, so that its
// newest report and its clock hold, and its lease may be extended.
func (w *worker) inTouch() bool { return w.answering() && w.mayGetOrders() }

// mayGetStarts reports whether this incarnation may start runs, according to its
// newest registration, which is nil if it is registered no more. A start order could
// arrive after the time at which a draining worker stops accepting orders, or at the
// next incarnation, and a deregistration ends the run in the state. The worker may be
// out of touch.
func (w *worker) mayGetStarts(reg *workstate.Worker) bool {
	return reg != nil && reg.Incarnation == w.reg.Incarnation && !reg.Draining && !w.deregistering && !w.superseded
}

// schedulable reports whether the worker may be chosen for new tasks.
func (w *worker) schedulable(now time.Time) bool {
	return w.inTouch() && w.mayGetStarts(&w.reg) && now.After(w.pausedUntil) && now.Sub(w.answeredAt) < maxAnswerAge
}

// watchWait returns how long the worker may delay a report without new ends.
func (w *worker) watchWait() time.Duration {
	if w.report != nil && !w.endsOnly && len(w.report.running) == 0 {
		return idleWatchWait
	}
	return busyWatchWait
}

// left reports whether the worker has announced its end and has ended. That it
// accepts no connection would not show this: a partition may refuse them while the
// worker waits for the answer to its announcement.
func (w *worker) left() bool { return w.reg.Leaving && w.listedEnded }

// endUnconfirmed reports whether the worker has announced its end, does not answer,
// and may have ended.
func (w *worker) endUnconfirmed() bool {
	return w.reg.Leaving && w.unresponsive && !w.listedEnded
}

// lost reports whether the worker has neither answered nor sent a heartbeat for
// so long that it is considered lost.
func (w *worker) lost(now time.Time, longestLease time.Duration) bool {
	last := w.lease.KnownSince()
	for _, at := range []time.Time{w.answeredAt, w.heartbeatAt} {
		if at.After(last) {
			last = at
		}
	}
	return w.unresponsive && now.Sub(last) > lostAfter && w.lease.Expired(now, longestLease)
}
