package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/health"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Times of leases and of calls to workers.
const (
	// leaseTime is what each call grants a worker. It outlives an election
	// of up to 1.2 s and the first calls of the new leader.
	leaseTime = 4 * time.Second
	// clockDrift is the share by which a worker's clock may be slow.
	clockDrift = 0.02
	// inheritedLease bounds the leases that former leaders may have
	// granted, from when a leader learns of a worker: their own leaseTime,
	// the 1.2 s until a leader without a majority notices, and slack.
	inheritedLease = leaseTime + 2*time.Second
	// formerCalls is how long after a worker's rebirth calls that were made
	// to its former life have arrived or failed: the longest of them waits
	// for watchWait and callTimeout, and twice that is slack.
	formerCalls = 2 * (watchWait + callTimeout)
	// watchWait is how long a worker holds an answer without news.
	watchWait = 500 * time.Millisecond
	// callTimeout bounds an order, and a watch beyond its wait.
	callTimeout = 500 * time.Millisecond
	// watchRetry is the pause after a call without an answer.
	watchRetry = 200 * time.Millisecond
	// silenceLimit is the age of the newest answer beyond which a worker
	// gets no new tasks.
	silenceLimit = watchWait + callTimeout + 100*time.Millisecond
	// goneAfter is the silence after which a worker is forgotten: some
	// heartbeats, and more than a lease. It registers again if it lives.
	goneAfter = 8 * time.Second
	// refusalPause keeps new tasks from a worker that has refused one for
	// a reason of its own.
	refusalPause = time.Second
)

// runKey names one run.
type runKey struct {
	task workload.TaskID
	run  int
}

// worker is what the leader knows of one life of a worker.
type worker struct {
	reg workstate.Worker
	// knownSince is when this leader learned of the life.
	knownSince time.Time
	// contact says that the worker has answered this leader, so that it
	// takes no orders of former ones.
	contact bool
	// clockMS is the worker's clock at clockAt.
	clockMS int64
	clockAt time.Time
	// leaseMS is the latest lease that may have been granted, on the
	// worker's clock.
	leaseMS int64
	// listed is the newest end that the worker has reported, seen the newest
	// that a progress holds, acked the newest that is committed.
	listed, seen, acked int64
	// silent says that the last call got no answer.
	silent bool
	// answeredAt is when the worker last answered, heardAt when its last
	// heartbeat came.
	answeredAt, heardAt time.Time
	watching            bool
	nextWatch           time.Time
	// forgotten says that the end of this life is being recorded.
	forgotten bool
	// report is the newest report, nil before the first.
	report *reportView
	// pausedUntil keeps new tasks away for a while.
	pausedUntil time.Time
	// speed is the pace of the worker's fillers in percent, set at pacedAt.
	speed   int
	pacedAt time.Time
	// record tells whether the worker fails what it starts.
	record health.RunHistory
}

// reportView is a report in a form that is quick to search.
type reportView struct {
	// sentAt is when the question left.
	sentAt  time.Time
	running map[runKey]execution.RunningTask
	ended   map[runKey]execution.EndedRun
}

func newReportView(sentAt time.Time, r *execution.Report) *reportView {
	view := &reportView{sentAt: sentAt, running: map[runKey]execution.RunningTask{}, ended: map[runKey]execution.EndedRun{}}
	for _, row := range r.Running {
		view.running[runKey{row.Task, row.Run}] = row
	}
	for _, row := range r.Ended {
		view.ended[runKey{row.Task, row.Run}] = row
	}
	return view
}

// newestEnd returns the highest number among the listed ends.
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

// usable says whether the worker may get new tasks.
func (w *worker) usable(now time.Time) bool {
	return w.contact && !w.silent && !w.reg.Draining && now.After(w.pausedUntil) && now.Sub(w.answeredAt) < silenceLimit
}

// noteClock notes the worker's clock from an answer.
func (w *worker) noteClock(clockMS int64, now time.Time) {
	if clockMS > 0 {
		w.clockMS, w.clockAt = clockMS, now
	}
}

// grant returns the end of a lease that begins now, on the worker's clock,
// and notes that it may be granted; 0 while the clock is not known.
func (w *worker) grant(now time.Time) int64 {
	if w.clockMS == 0 {
		return 0
	}
	until := w.clockMS + (now.Sub(w.clockAt) + leaseTime).Milliseconds()
	w.leaseMS = max(w.leaseMS, until)
	return until
}

// gone says whether nothing has been heard of the worker for long.
func (w *worker) gone(now time.Time, longestLease time.Duration) bool {
	last := w.knownSince
	for _, at := range []time.Time{w.answeredAt, w.heardAt} {
		if at.After(last) {
			last = at
		}
	}
	return w.silent && now.Sub(last) > goneAfter && w.lapsed(now, longestLease)
}

// firstLease bounds the lease that a worker may hold on its own clock when it
// first answers this leader. A former leader's lease may last; no later one
// can be granted.
func (w *worker) firstLease(longest time.Duration) int64 {
	return max(w.clockMS+leaseTime.Milliseconds(), w.strayLease(longest).Milliseconds())
}

// strayLease bounds the lease, from the begin of the worker's life, that calls
// to a former life under its id may have granted; 0 if there was none. They
// tell a time on that life's clock, which may be far ahead: the worker's own
// limit bounds it.
func (w *worker) strayLease(longest time.Duration) time.Duration {
	if !w.reg.Restarted {
		return 0
	}
	return formerCalls + longest
}

// lapsed says whether every lease that may have been granted has ended for
// sure, though the worker is not heard: its clock may be slow. Before the
// first contact, leases may be those of a former leader, or of an order to
// the worker's former life that arrived at this one.
func (w *worker) lapsed(now time.Time, longest time.Duration) bool {
	if !w.contact || w.clockMS == 0 {
		bound := max(inheritedLease, w.strayLease(longest))
		return now.Sub(w.knownSince) > time.Duration(float64(bound)*(1+clockDrift))
	}
	passed := time.Duration(float64(now.Sub(w.clockAt)) * (1 - clockDrift))
	return w.clockMS+passed.Milliseconds() > w.leaseMS
}
