package scheduler

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/rebalance"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// tickInterval is the time between looks at what depends on time alone.
const tickInterval = 50 * time.Millisecond

// eventQueue bounds the events that wait for the loop.
const eventQueue = 4096

// Metrics of the scheduler.
var (
	startedRuns   = metrics.NewCounter(`arbutus_runs_started_total`)
	endedRuns     = metrics.NewCounter(`arbutus_runs_ended_total`)
	refusedOrders = metrics.NewCounter(`arbutus_orders_refused_total`)
	lostOrders    = metrics.NewCounter(`arbutus_orders_unanswered_total`)
	planSeconds   = metrics.NewHistogram(`arbutus_plan_seconds`)
	commitSeconds = metrics.NewHistogram(`arbutus_progress_commit_seconds`)
)

// Options are what a scheduler needs.
type Options struct {
	Replica  replica.Replica
	Machine  *workstate.Machine
	Workers  execution.Workers
	Platform execution.Platform
	// Adviser is nil where no queue needs advice.
	Adviser execution.Adviser
	// Holder names this process to the platform.
	Holder string
	Limits Limits
	Log    *slog.Logger
	Now    func() time.Time
}

// Limits are a deployment's times.
type Limits struct {
	// StopTimeout bounds the end of a run that is stopped.
	StopTimeout time.Duration
	// LongestLease is what a worker grants at most, whatever it is told.
	LongestLease time.Duration
	// FencingEnforced says that the platform refuses orders of former leaders.
	FencingEnforced bool
	// HolderLease is the time after the last order of another holder
	// before which a VM must be left alone.
	HolderLease time.Duration
	// Retention is how long ended jobs are kept.
	Retention time.Duration
	// ActionRate bounds the orders of VMs that the platform takes from all
	// processes together, each second.
	ActionRate float64
}

// event changes what the loop knows. It runs on the loop's goroutine.
type event func(*loop)

// loop is one leadership. All its state belongs to the goroutine of run.
type loop struct {
	Options
	ctx context.Context
	// term is the leader's term: the fence of all orders.
	term   uint64
	since  time.Time
	events chan event

	workers map[string]*worker
	runs    map[workload.TaskID]*run
	// ends wait for the next commit, by run.
	ends map[runKey]workstate.End
	// committing says that a progress is on its way; dirty that something
	// has changed since the last plan.
	committing, dirty bool
	// rounds spaces rounds out.
	rounds roundPace
	// roundNumber counts the rounds.
	roundNumber uint64
	// orphans holds when runs that are not recorded were last told to stop.
	orphans map[runKey]time.Time
	fleet   fleet
	upkeep  upkeepState
	demand  demandState
	advised advisedState
	// vacating are the VMs that take no new tasks so that they can move.
	vacating map[string]bool
	// vmCapacity is the mean capacity of a VM.
	vmCapacity workload.Resources

	nextForget time.Time
}

func newLoop(ctx context.Context, o Options, term uint64) *loop {
	return &loop{
		Options: o, ctx: ctx, term: term, since: time.Now(), events: make(chan event, eventQueue),
		workers: map[string]*worker{}, runs: map[workload.TaskID]*run{}, ends: map[runKey]workstate.End{},
		orphans: map[runKey]time.Time{}, dirty: true,
		fleet:   fleet{entries: map[string]*vmEntry{}},
		advised: advisedState{steps: map[stepKey]*advice{}},
		upkeep:  upkeepState{missing: map[string]time.Time{}},
		demand:  demandState{forecasts: map[string]*rebalance.Forecast{}, meanWork: map[string]float64{}},
	}
}

// post hands an event to the loop, unless the leadership has ended.
func (l *loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// run serves events until the leadership ends.
func (l *loop) run() {
	l.Log.Info("leading", "term", l.term)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-l.ctx.Done():
			l.Log.Info("no longer leading", "term", l.term, "led_ms", time.Since(l.since).Milliseconds())
			return
		case e := <-l.events:
			e(l)
			l.drainEvents()
		case <-ticker.C:
			l.dirty = true
		case <-next.C:
		}
		if wait := l.advance(time.Now()); wait > 0 {
			next.Reset(wait)
		}
	}
}

// drainEvents takes the events that wait now, so that one plan serves all.
func (l *loop) drainEvents() {
	for {
		select {
		case e := <-l.events:
			e(l)
		default:
			return
		}
	}
}

// advance plans and sends what is due. It returns in how long it may be called
// again if it was called too early.
func (l *loop) advance(now time.Time) time.Duration {
	if due, wait := l.rounds.due(now); !due {
		return wait
	}
	if l.dirty && !l.committing {
		l.dirty = false
		l.round(now)
	}
	l.watchWorkers(now)
	l.listVMs(now)
	l.rounds.ended(now, time.Now())
	return 0
}

// round reconciles the state with what workers report, plans, and commits
// the outcome. At most one commit is on its way, so that each round sees
// the state that the one before has left.
func (l *loop) round(now time.Time) {
	start := time.Now()
	var progress workstate.Progress
	l.Machine.Read(func(v *workstate.View) {
		l.syncWorkers(v)
		l.takeEnds(v, now)
		usage := l.reconcile(v, now)
		l.giveUpStragglers(usage, now)
		l.planPace(usage, now)
		l.planUpkeep(v, usage, now)
		groups := l.waitingGroups(v, now)
		l.planAdvice(v, usage, groups, now)
		l.planMoves(v, usage, groups, now)
		progress.Starts = l.plan(v, usage, groups, now)
	})
	for _, end := range l.ends {
		progress.Ends = append(progress.Ends, end)
	}
	planSeconds.UpdateDuration(start)
	l.forget(now)
	if len(progress.Ends) == 0 && len(progress.Starts) == 0 {
		l.ackEnds()
		return
	}
	l.commit(&progress)
}

// commit proposes a progress; its result comes back as an event.
func (l *loop) commit(progress *workstate.Progress) {
	l.committing = true
	go func() {
		start := time.Now()
		result, err := propose(l.ctx, l.Replica, &workstate.Command{Progress: progress}, l.Now())
		commitSeconds.UpdateDuration(start)
		l.post(func(l *loop) { l.committed(progress, result, err) })
	}()
}

// committed sends the orders of the starts that were recorded.
func (l *loop) committed(progress *workstate.Progress, result workstate.Result, err error) {
	l.committing = false
	l.dirty = true
	if err != nil {
		l.Log.Warn("progress not committed", "starts", len(progress.Starts), "ends", len(progress.Ends), "error", err.Error())
		return
	}
	for _, end := range progress.Ends {
		delete(l.ends, runKey{end.Task, end.Run})
	}
	l.ackEnds()
	endedRuns.Add(len(progress.Ends))
	l.logProgress(progress, result.Started)
	l.Machine.Read(func(v *workstate.View) {
		for i, ok := range result.Started {
			if ok {
				l.beginRun(v, &progress.Starts[i])
			}
		}
	})
}

// ackEnds lets workers forget the ends that are committed.
func (l *loop) ackEnds() {
	for _, w := range l.workers {
		w.acked = max(w.acked, w.seen)
	}
}

// forget drops old jobs from time to time.
func (l *loop) forget(now time.Time) {
	if now.Before(l.nextForget) {
		return
	}
	l.nextForget = now.Add(l.Limits.Retention / 4)
	before := l.Now().Add(-2 * l.Limits.Retention).UnixMilli()
	go func() {
		_, err := propose(l.ctx, l.Replica, &workstate.Command{PurgeJobs: &workstate.PurgeJobs{EndedBeforeMS: before}}, l.Now())
		if err != nil && l.ctx.Err() == nil {
			l.Log.Warn("old jobs not forgotten", "error", err.Error())
		}
	}()
}
