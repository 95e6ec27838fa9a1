package scheduler

import (
	"context"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/process/fencing"
	"arbutusward.example/arbutusward/internal/process/heartbeats"
	"arbutusward.example/arbutusward/internal/process/scheduler/loadlog"
	"arbutusward.example/arbutusward/internal/process/scheduler/quota"
	"arbutusward.example/arbutusward/internal/process/scheduler/rounds"
	"arbutusward.example/arbutusward/internal/process/scheduler/runtable"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/durations"
	"arbutusward.example/arbutusward/internal/version/health"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/rebalance"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// tickInterval is the interval at which the loop runs a round without an event.
const tickInterval = 100 * time.Millisecond

// fleetInterval is the minimum time between two calls of planFleet. A move of a VM
// or a restart of a run takes many times as long.
const fleetInterval = 100 * time.Millisecond

// eventQueue limits the number of events that wait for the loop.
const eventQueue = 16384

// Metrics of the scheduler.
var (
	startedRuns       = metrics.NewCounter(`arbutus_runs_started_total`)
	endedRuns         = metrics.NewCounter(`arbutus_runs_ended_total`)
	refusedOrders     = metrics.NewCounter(`arbutus_orders_refused_total`)
	lostOrders        = metrics.NewCounter(`arbutus_orders_unanswered_total`)
	planSeconds       = metrics.NewHistogram(`arbutus_plan_seconds`)
	commitSeconds     = metrics.NewHistogram(`arbutus_progress_commit_seconds`)
	workerCrashes     = metrics.NewCounter(`arbutus_worker_crashes_total`)
	malformedCommands = metrics.NewCounter(`arbutus_commands_malformed_total`)
	jobsGivenUp       = metrics.NewCounter(`arbutus_jobs_given_up_total`)
	watchCalls        = metrics.NewCounter(`arbutus_worker_watches_total`)
)

// event is a function that updates the state of the loop. It is called on the
// loop's goroutine.
type event func(*loop)

// loop schedules tasks during one term of leadership. All its state is owned by
// the goroutine that calls run.
type loop struct {
	Options
	ctx context.Context
	// term is the leader's term. It is the fencing token of orders for VMs, and a
	// part of that of calls to workers.
	term   uint64
	since  time.Time
	events chan event
	// heard holds the newest heartbeats that are known in this process.
	heard *heartbeats.Table

	workers     map[string]*worker
	generations fencing.Generations
	// workerList lists the workers by id.
	workerList []*worker
	// byVM holds the workers by VM, as of the synced version byVMVersion.
	byVM        map[string]*worker
	byVMVersion uint64
	// schedulable is the space for the workers of a plan, stragglers and samples
	// that for those of a usage.
	schedulable []placement.Worker
	stragglers  []straggler
	samples     []health.Sample
	// syncedVersion is the workstate.View.WorkersVersion, and syncedCatalog the
	// version of the catalog, that workers shows.
	syncedVersion uint64
	syncedCatalog int64
	runs          *runtable.Table[run]
	// dueStarts lists the runs of a round whose start orders are due.
	dueStarts []dueStart
	orders    orderWindow
	// ends holds the ends of runs that wait for the next commit.
	ends map[runKey]workstate.End
	// survivals holds the survivals that the current round has found, to be committed.
	survivals []workstate.Survival
	// committing is set while a commit of progress is in flight. dirty is set
	// if something has changed since the last round.
	committing, dirty bool
	// unconfirmed is set while it is unknown whether the last commit of progress is still
	// to be applied. A plan made before that would not know its starts.
	unconfirmed bool
	// lastCommit is how long the last commit of progress took.
	lastCommit time.Duration
	// format is the newest format of commands that may be proposed.
	format int
	// pacer limits the share of time that rounds take.
	pacer rounds.Pacer
	// roundNumber counts the rounds.
	roundNumber uint64
	// orphans holds the time at which each executing but unrecorded run was last
	// ordered to stop.
	orphans     map[runKey]time.Time
	fleet       fleet
	maintenance maintenanceState
	demand      demandState
	advice      adviceState
	// draining is the set of VMs that get no new tasks so that they can move to
	// another pool. Unlike Worker.Draining, it is chosen by the planner and not
	// announced by a worker.
	draining map[string]bool
	// vmCapacity is the mean capacity of a VM.
	vmCapacity workload.Resources

	// waitingSteps and waitingTasks count what waited in the last round.
	waitingSteps, waitingTasks int
	fleetPlannedAt             time.Time
	accountLog                 quota.Log
	purge                      purgeState
	admission                  admissionState
	loadLog                    loadlog.Log
}

func newLoop(ctx context.Context, o Options, term uint64) *loop {
	return &loop{
		Options: o, ctx: ctx, term: term, since: time.Now(), events: make(chan event, eventQueue), heard: &heartbeats.Table{},
		workers: map[string]*worker{}, generations: fencing.Generations{}, runs: runtable.New[run](), ends: map[runKey]workstate.End{},
		orphans: map[runKey]time.Time{}, dirty: true,
		fleet:       fleet{entries: map[string]*vmEntry{}},
		advice:      adviceState{steps: map[workload.StepID]*stepAdvice{}},
		maintenance: maintenanceState{missing: map[string]time.Time{}, interrupted: map[string]time.Time{}},
		demand:      demandState{forecasts: map[string]*rebalance.Forecast{}, meanWork: map[string]float64{}, overheads: durations.Overheads{}, durations: durations.Queues{}},
	}
}

// post queues an event for the loop. It does nothing if the leadership has ended.
func (l *loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// run handles events until the leadership ends.
func (l *loop) run() {
	l.Log.Info("scheduling loop started", "term", l.term)
	if l.MembersFormat != nil {
		go l.raiseFormat()
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-l.ctx.Done():
			quota.ResetOverRate()
			l.Log.Info("scheduling loop stopped", "term", l.term, "led_ms", time.Since(l.since).Milliseconds())
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

// drainEvents handles the events that are queued now, so that one round serves
// all of them.
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

// advance runs a round, watches workers and lists VMs if they are due. If it was
// called too early it returns how long to wait before the next call.
func (l *loop) advance(now time.Time) time.Duration {
	if due, wait := l.pacer.Due(now); !due {
		return wait
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	started := loadlog.ProcessorTime(syscall.RUSAGE_THREAD)
	round := l.dirty && !l.committing
	if round {
		l.dirty = false
		l.round(now)
	}
	l.watchWorkers(now)
	l.listVMs(now)
	end := time.Now()
	l.pacer.Record(now, end)
	l.loadLog.RecordPass(end.Sub(now), loadlog.ProcessorTime(syscall.RUSAGE_THREAD)-started, round)
	l.logLoad(end)
	return 0
}

// round reconciles the state with the reports of workers, plans, and commits the
// resulting starts and ends of runs. At most one commit is in flight, so that
// each round sees the result of the previous one.
func (l *loop) round(now time.Time) {
	start := time.Now()
	var progress workstate.Progress
	l.survivals = l.survivals[:0]
	l.Machine.Read(func(v *workstate.View) {
		l.format = v.Format()
		l.syncWorkers(v)
		l.queueReportedEnds(v, now)
		planFleet := now.Sub(l.fleetPlannedAt) >= fleetInterval
		detail := capacityInUse
		if planFleet {
			detail = fleetDetails
		}
		usage := l.reconcile(v, detail, now)
		groups := l.waitingGroups(v, now)
		l.recordWaiting(groups)
		quota.RecordOverRate(v, groups)
		l.applyAdvice(v, usage, groups, now)
		if planFleet {
			l.fleetPlannedAt = now
			l.planFleet(v, usage, groups, now)
		}
		progress.Starts = l.placeTasks(v, usage, groups, now)
		l.publishLoad(v, usage, groups, progress.Starts, now)
	})
	for _, end := range l.ends {
		progress.Ends = append(progress.Ends, end)
	}
	progress.Survivals = slices.Clone(l.survivals)
	planSeconds.UpdateDuration(start)
	l.purgeJobs(now)
	if len(progress.Ends) == 0 && len(progress.Starts) == 0 && len(progress.Survivals) == 0 {
		return
	}
	l.commit(&progress)
}

// recordWaiting records how many steps and tasks wait.
func (l *loop) recordWaiting(groups []*placement.Group) {
	l.waitingSteps, l.waitingTasks = len(groups), 0
	for _, g := range groups {
		l.waitingTasks += len(g.Indexes)
	}
}

// planFleet makes the decisions that act on a scale of seconds: what to do with
// slow runs and best-effort tasks, and which VMs to maintain and to move.
func (l *loop) planFleet(v *workstate.View, u *usage, groups []*placement.Group, now time.Time) {
	l.recordPools(u)
	l.closeExecutedOrders(u, now)
	l.stopStragglers(u, now)
	l.setBestEffortSpeeds(u, now)
	l.stopOrphans(u, now)
	waves := l.surveyWaves(v, u, now)
	l.updateVMCapacity()
	pools := l.desiredPools(v, u, groups, now)
	l.admission.pools = pools
	l.yield(u, pools)
	l.evacuateDraining(v, u, now)
	l.cordonVMs(v, u, waves, pools, now)
	l.planMoves(v, u, pools, now)
}
