package scheduler

import (
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/standin"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// fakeRun is a run on a fake worker.
type fakeRun struct {
	task      workload.TaskID
	run       int
	endsAt    time.Time
	startedAt time.Time
	// stopsAt is when the run ends after an order to stop; zero without one.
	stopsAt time.Time
}

// fakeWorker simulates a worker of the platform.
type fakeWorker struct {
	id          string
	capacity    workload.Resources
	labels      []string
	incarnation int64
	started     time.Time
	// clockStartMS is what the clock showed then.
	clockStartMS int64
	token        uint64
	leaseMS      int64
	running      map[workload.TaskID]*fakeRun
	// highest is the highest run number of each task that was stopped or has
	// ended.
	highest map[workload.TaskID]int
	ended   []execution.EndedRun
	// reportedEnds holds the ledger's entry of each reported end. leaseEndOrder
	// is the ledger's order when the lease was last found expired.
	reportedEnds  map[int64]*runEnd
	leaseEndOrder int
	// lapsedMS holds, for each run that ended with the lease, the end of the lease
	// on the worker's clock.
	lapsedMS   map[runKey]int64
	lastEnd    int64
	watchCalls int
	// clockRate is the speed of the worker's clock relative to real time.
	clockRate float64
	// changed is closed when a run starts or is stopped.
	changed chan struct{}

	// unreachable workers answer no calls. loseStarts is the number of starts
	// that are executed without an answer.
	unreachable bool
	loseStarts  int
	// refusesConnections is set once the process has ended.
	refusesConnections bool
	// crashedAt is when a deadly task crashed the worker; zero before.
	crashedAt time.Time
	// failAll makes every run fail; hangAll keeps every run from making
	// progress.
	failAll, hangAll bool
	// speeds holds the ordered speed of each task. tailPerPercent is the tail
	// latency of serving tasks per percent of speed of the other tasks.
	speeds         map[workload.TaskID]int
	tailPerPercent float64
	// limit checks the starts of a worker that does not enforce its capacity.
	limit capacityLimit
	// stopTime is how long a run takes to end after an order to stop.
	stopTime time.Duration
	// contacted is set once a leader that knew this incarnation has got a report of
	// it, which was first found registered at registeredAt.
	contacted    bool
	registeredAt time.Time
}

// fakeWorkers is a pool of fake workers. It reports violations of the
// scheduling rules.
type fakeWorkers struct {
	t        *testing.T
	mu       sync.Mutex
	workers  map[string]*fakeWorker
	duration time.Duration
	// durationOf and fails, if set, return how long a run takes and whether it
	// fails.
	durationOf func(workload.TaskID, int) time.Duration
	fails      func(workload.TaskID, int) bool
	// newest holds the last worker added with each id. clockStartOf, if set, returns
	// what the clock of a new one shows, given the former one with its id or nil.
	newest       map[string]*fakeWorker
	clockStartOf func(id string, former *fakeWorker) int64
	ledger       *ledger
	starts       int
	// longRunningJob is the job whose tasks are long-running. disruptions
	// checks the orders that stop these tasks; it is nil if they are not
	// checked.
	longRunningJob string
	disruptions    *disruptionCheck
	// ticket, if set, checks the ticket of a start order.
	ticket func(*fakeWorker, execution.StartOrder) bool
	// submitted holds the jobs whose tasks count against the capacity of workers.
	submitted map[string]workload.Spec
	// quotas, if set, checks the limits of accounts.
	quotas *quotaCheck
	// deadly, if set, tells which tasks crash each worker that starts them, and
	// onCrash is called for each such worker. deadlyCrashes counts them by task.
	deadly        func(workload.TaskID) bool
	onCrash       func(*fakeWorker)
	deadlyCrashes map[workload.TaskID]int
	// startup is how long a long-running task takes until it is at work.
	// stoppedEarly counts those that were stopped before.
	startup      time.Duration
	stoppedEarly int
	// slowestOrder is the longest delay of an order that is executed late.
	slowestOrder time.Duration
}

func newFakeWorkers(t *testing.T, duration time.Duration) *fakeWorkers {
	return &fakeWorkers{t: t, workers: map[string]*fakeWorker{}, newest: map[string]*fakeWorker{}, duration: duration, ledger: newLedger(t), submitted: map[string]workload.Spec{}, deadlyCrashes: map[workload.TaskID]int{}, slowestOrder: slowestOrder}
}

func (f *fakeWorkers) add(id string, milliCPU int64) *fakeWorker {
	clockStartMS, former := standin.ClockStartMS(len(f.newest)+1), f.newest[id]
	switch {
	case f.clockStartOf != nil:
		clockStartMS = f.clockStartOf(id, former)
	case former != nil:
		// Calls to the former incarnation carry a time far ahead.
		clockStartMS = former.clockStartMS / 2
	}
	w := &fakeWorker{
		id: id, clockStartMS: clockStartMS, incarnation: time.Now().UnixMilli(), started: time.Now(), capacity: workload.Resources{MilliCPU: milliCPU, MemoryMB: 1 << 20},
		running: map[workload.TaskID]*fakeRun{}, highest: map[workload.TaskID]int{}, speeds: map[workload.TaskID]int{},
		reportedEnds: map[int64]*runEnd{}, lapsedMS: map[runKey]int64{}, clockRate: 1, changed: make(chan struct{}),
	}
	f.workers[id], f.newest[id] = w, w
	return w
}

func (w *fakeWorker) clock() int64 {
	return w.clockStartMS + int64(float64(time.Since(w.started).Milliseconds())*w.clockRate)
}

// end moves a run to the list of ended runs.
func (f *fakeWorkers) end(w *fakeWorker, r *fakeRun, reason execution.EndReason) {
	delete(w.running, r.task)
	if reason == execution.ReasonStopped && time.Since(r.startedAt) < f.startup {
		f.stoppedEarly++
	}
	f.recordAway(r.task, reason == execution.ReasonStopped)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, execution.EndedRun{Number: w.lastEnd, Task: r.task, Run: r.run, Reason: reason})
	w.reportedEnds[w.lastEnd] = f.ledger.ended(r.task, reason)
}

// advance ends the runs that are due.
func (f *fakeWorkers) advance(w *fakeWorker) {
	if w.clock() > w.leaseMS {
		defer func() { w.leaseEndOrder = f.ledger.order }()
	}
	for _, r := range w.running {
		switch {
		case w.clock() > w.leaseMS:
			w.lapsedMS[runKey{r.task, r.run}] = w.leaseMS
			f.end(w, r, execution.ReasonLeaseExpired)
		case !r.stopsAt.IsZero() && !time.Now().Before(r.stopsAt):
			f.end(w, r, execution.ReasonStopped)
		case w.failAll, f.fails != nil && !time.Now().Before(r.endsAt) && f.fails(r.task, r.run):
			f.end(w, r, execution.ReasonFailed)
		case !time.Now().Before(r.endsAt) && !w.hangAll:
			f.end(w, r, execution.ReasonDone)
		}
	}
}

// reach returns the worker if it answers and the fencing token is not stale.
// The lock must be held.
func (f *fakeWorkers) reach(to execution.WorkerAddress, token uint64) (*fakeWorker, execution.Refusal, error) {
	w := f.workers[to.ID]
	if w != nil && w.refusesConnections {
		return nil, "", execution.ErrConnectionRefused
	}
	if w == nil || w.unreachable {
		return nil, "", execution.ErrNoAnswer
	}
	f.advance(w)
	if token < w.token {
		return w, execution.RefusedFencingToken, nil
	}
	w.token = token
	return w, execution.Accepted, nil
}
