package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workerapi"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
)

// Times of the job runner.
const (
	// roundTime is the time between plans.
	roundTime = 500 * time.Millisecond
	// taskLease is how long a task runs on without a word from control.
	taskLease = 6 * time.Second
	// maxStampAge is how old a worker's stamp may be to give a lease from it.
	maxStampAge = 3 * time.Second
	// leaseMargin is added to the lease before a silent task counts as
	// lost; it covers the drift between the two clocks.
	leaseMargin = 2 * time.Second
	// syncTime is the time between calls to a worker without news.
	syncTime = 1500 * time.Millisecond
)

// maxPasses bounds the passes of one round: what workers say at once about
// new orders is recorded and planned for in the same round.
const maxPasses = 4

// maxSyncsAtOnce bounds the calls to workers in flight.
const maxSyncsAtOnce = 32

// usageStep is the relative change of use that is worth a command.
const usageStep = 0.1

// jobRunner carries job plans out while this process leads. One goroutine
// owns it.
type jobRunner struct {
	server  *Server
	workers workerapi.Client
	// leaseBase is the time from which each attempt's lease counts: not
	// before the worker's own stamp that the lease was given from. It is
	// zero while no lease was given. An attempt found when this process
	// began to lead counts from then.
	leaseBase map[workerapi.TaskRef]time.Time
	// silentSince is when each worker that gives no answer was last asked
	// in vain for the first time.
	silentSince map[string]time.Time
	// started says that the attempts found at the start were taken over.
	started bool
	// clocks holds the newest stamp of each worker.
	clocks map[string]workerClock
	// syncedAt is when each worker was last called.
	syncedAt map[string]time.Time
	// forget lists ended attempts to be dropped by their worker.
	forget map[string][]workerapi.TaskRef
	// dirty marks workers that have new tasks or orders.
	dirty map[string]bool
}

// workerClock is a worker's stamp and when it was received.
type workerClock struct {
	stamp      workerapi.Stamp
	receivedAt time.Time
}

func newJobRunner(server *Server, workers workerapi.Client) *jobRunner {
	return &jobRunner{
		server: server, workers: workers,
		leaseBase: map[workerapi.TaskRef]time.Time{}, clocks: map[string]workerClock{},
		silentSince: map[string]time.Time{}, syncedAt: map[string]time.Time{},
		forget: map[string][]workerapi.TaskRef{}, dirty: map[string]bool{},
	}
}

// run carries plans out until the context ends with the leadership.
func (r *jobRunner) run(ctx context.Context) {
	ticker := time.NewTicker(roundTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := r.round(ctx); err != nil && ctx.Err() == nil {
			r.server.log.Warn("job round failed", logging.Err(err))
		}
	}
}

// round hears the workers, records what they say, plans, and tells them,
// again while the plan has steps.
func (r *jobRunner) round(ctx context.Context) error {
	for range maxPasses {
		if err := r.record(ctx, r.syncWorkers(ctx)); err != nil {
			return err
		}
		stepped, err := r.step(ctx)
		if err != nil || !stepped {
			return err
		}
	}
	return nil
}

// step plans and proposes the plan as one command; false if it is empty.
func (r *jobRunner) step(ctx context.Context) (bool, error) {
	input, epochs := r.server.machine.JobInput(time.Now().UnixMilli())
	for i := range input.Workers {
		input.Workers[i].Unresponsive = !r.silentSince[input.Workers[i].Name].IsZero()
	}
	steps := asSteps(input, jobplan.NewPlan(input), epochs)
	if len(steps.Placements)+len(steps.Preemptions)+len(steps.Blocked) == 0 {
		return false, nil
	}
	if _, err := propose[state.JobStepsAnswer](ctx, r.server, state.StepJobs, steps); err != nil {
		return false, err
	}
	r.announceSteps(steps)
	return true, nil
}

// asSteps names the epochs under which a plan was made, and leaves out
// reasons that are recorded already.
func asSteps(input *jobplan.Input, plan jobplan.Plan, epochs map[string]uint64) state.JobSteps {
	var steps state.JobSteps
	for _, p := range plan.Placements {
		steps.Placements = append(steps.Placements, state.JobPlacement{Job: p.Job, Epoch: epochs[p.Job], Worker: p.Worker, Reservation: p.Reservation})
	}
	for _, p := range plan.Preemptions {
		steps.Preemptions = append(steps.Preemptions, state.JobOrder{Job: p.Job, Epoch: epochs[p.Job], Order: p.Order, Reason: p.Reason})
	}
	recorded := map[string]string{}
	for _, job := range input.Jobs {
		recorded[job.ID] = job.Reason
	}
	for _, b := range plan.Blocked {
		if recorded[b.Job] != b.Reason {
			steps.Blocked = append(steps.Blocked, b)
		}
	}
	return steps
}

func (r *jobRunner) announceSteps(steps state.JobSteps) {
	for _, p := range steps.Placements {
		r.dirty[p.Worker] = true
		r.server.recorder.Record(timeline.Event{Kind: timeline.JobPlaced, Job: p.Job, VM: p.Worker})
	}
	for _, o := range steps.Preemptions {
		if job, known := r.server.machine.JobView(o.Job); known {
			r.dirty[job.Worker] = true
		}
		r.server.recorder.Record(timeline.Event{Kind: timeline.JobPreempted, Job: o.Job, Cause: string(o.Order) + ": " + o.Reason})
	}
	for _, b := range steps.Blocked {
		r.server.recorder.Record(timeline.Event{Kind: timeline.JobBlocked, Job: b.Job, Cause: b.Reason})
	}
}

// syncWorkers calls the workers that have news or are due, and returns
// their answers.
func (r *jobRunner) syncWorkers(ctx context.Context) map[string]workerapi.SyncAnswer {
	syncs := r.dueSyncs(time.Now())
	r.refreshClocks(ctx, syncs)
	for vm, body := range syncs {
		if time.Since(r.clocks[vm].receivedAt) > maxStampAge {
			// The worker is silent: no lease can be given.
			delete(syncs, vm)
			continue
		}
		syncs[vm] = r.grantLeases(vm, body)
	}
	answers := r.callAll(ctx, syncs)
	for vm := range answers {
		delete(r.forget, vm)
	}
	return answers
}

// refreshClocks asks workers for their stamp where the known one is too
// old to give a lease from.
func (r *jobRunner) refreshClocks(ctx context.Context, syncs map[string]workerapi.Sync) {
	stale := map[string]workerapi.Sync{}
	for vm := range syncs {
		if time.Since(r.clocks[vm].receivedAt) > maxStampAge {
			stale[vm] = workerapi.Sync{}
		}
	}
	r.callAll(ctx, stale)
}

// grantLeases completes a call with the worker's stamp. The lease counts
// from when that stamp was received whether or not the call is answered.
func (r *jobRunner) grantLeases(vm string, body workerapi.Sync) workerapi.Sync {
	clock := r.clocks[vm]
	body.AsOf = clock.stamp
	body.LeaseMS = taskLease.Milliseconds()
	for _, task := range body.Tasks {
		ref := workerapi.TaskRef{Job: task.Job, Epoch: task.Epoch}
		if clock.receivedAt.After(r.leaseBase[ref]) {
			r.leaseBase[ref] = clock.receivedAt
		}
	}
	return body
}

// callAll makes the calls, a bounded number at once, and keeps the stamps
// that come back.
func (r *jobRunner) callAll(ctx context.Context, syncs map[string]workerapi.Sync) map[string]workerapi.SyncAnswer {
	answers := map[string]workerapi.SyncAnswer{}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxSyncsAtOnce)
	for vm, body := range syncs {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			answer, err := r.workers.Sync(ctx, vm, body)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.noteSilent(vm, err)
				return
			}
			delete(r.silentSince, vm)
			answers[vm] = answer
			r.clocks[vm] = workerClock{stamp: answer.Now, receivedAt: time.Now()}
		})
	}
	group.Wait()
	return answers
}

func (r *jobRunner) noteSilent(vm string, err error) {
	if r.silentSince[vm].IsZero() {
		r.silentSince[vm] = time.Now()
		r.server.log.Warn("worker gives no answer", "vm", vm, logging.Err(err))
	}
}

// dueSyncs makes the calls for workers with news or without a call for
// syncTime, and forgets attempts that are over.
func (r *jobRunner) dueSyncs(now time.Time) map[string]workerapi.Sync {
	byWorker := map[string][]workerapi.TaskOrder{}
	live := map[workerapi.TaskRef]time.Time{}
	for _, job := range r.server.machine.ActiveJobs() {
		if job.Phase != jobplan.Running {
			continue
		}
		ref := workerapi.TaskRef{Job: job.Spec.ID, Epoch: job.Epoch}
		live[ref] = r.leaseBase[ref]
		if !r.started {
			live[ref] = now
		}
		byWorker[job.Worker] = append(byWorker[job.Worker], taskOrder(job))
	}
	r.leaseBase = live
	r.started = true
	syncs := map[string]workerapi.Sync{}
	for vm := range r.forget {
		syncs[vm] = workerapi.Sync{Tasks: byWorker[vm], Forget: r.forget[vm]}
	}
	for vm := range r.silentSince {
		if now.Sub(r.syncedAt[vm]) >= syncTime {
			syncs[vm] = workerapi.Sync{Tasks: byWorker[vm]}
		}
	}
	for vm, tasks := range byWorker {
		if r.dirty[vm] || now.Sub(r.syncedAt[vm]) >= syncTime {
			syncs[vm] = workerapi.Sync{Tasks: tasks, Forget: r.forget[vm]}
		}
	}
	for vm := range syncs {
		r.syncedAt[vm] = now
	}
	clear(r.dirty)
	return syncs
}

func taskOrder(job state.Job) workerapi.TaskOrder {
	return workerapi.TaskOrder{
		Job: job.Spec.ID, Epoch: job.Epoch, Team: job.Spec.Team, Kind: job.Spec.Kind,
		Reservation: job.Reserved, Payload: job.Spec.Payload, Order: job.Order, Resume: job.Checkpointed,
	}
}

// record proposes what the workers said, and the loss of attempts whose
// lease ran out.
func (r *jobRunner) record(ctx context.Context, answers map[string]workerapi.SyncAnswer) error {
	var reports []state.TaskReport
	for vm, answer := range answers {
		for _, task := range answer.Tasks {
			report, news := r.reportOf(vm, task)
			if news {
				reports = append(reports, report)
			}
		}
	}
	reports = append(reports, r.lostTasks(time.Now())...)
	if len(reports) == 0 {
		return nil
	}
	answer, err := propose[state.TaskReportsAnswer](ctx, r.server, state.ReportTasks, state.TaskReports{Reports: reports})
	if err != nil {
		return err
	}
	r.announceReports(reports, answer)
	return nil
}

// reportOf turns a worker's word into a report, and says whether it is
// news. Ended attempts are forgotten by the worker once they are recorded.
func (r *jobRunner) reportOf(vm string, task workerapi.TaskInfo) (state.TaskReport, bool) {
	report := state.TaskReport{Job: task.Job, Epoch: task.Epoch, Outcome: outcomeOf(task.State), Used: task.PeakUsage, RunMS: task.RunMS, Reason: task.Reason}
	job, known := r.server.machine.JobView(task.Job)
	current := known && job.Phase == jobplan.Running && job.Epoch == task.Epoch && job.Worker == vm
	if !current {
		if task.State.Ended() {
			r.forget[vm] = append(r.forget[vm], workerapi.TaskRef{Job: task.Job, Epoch: task.Epoch})
		}
		return report, false
	}
	switch report.Outcome {
	case state.TaskRunning:
		return report, differs(job.Used, task.PeakUsage)
	case state.TaskCheckpointed:
		return report, !job.Checkpointed || differs(job.Used, task.PeakUsage)
	}
	return report, true
}

func outcomeOf(s workerapi.TaskState) state.TaskOutcome {
	switch s {
	case workerapi.Checkpointed:
		return state.TaskCheckpointed
	case workerapi.Done:
		return state.TaskDone
	case workerapi.Failed:
		return state.TaskFailed
	case workerapi.Stopped:
		return state.TaskStopped
	}
	return state.TaskRunning
}

// differs says that a use changed by more than usageStep.
func differs(known, seen fleet.Resources) bool {
	changed := func(a, b float64) bool { return b > a*(1+usageStep) || b < a*(1-usageStep) }
	return changed(known.CPUCores, seen.CPUCores) || changed(known.MemoryGiB, seen.MemoryGiB)
}

// lostTasks returns the attempts that no worker can be running any more:
// those whose lease is over, and those on silent workers that never got one.
func (r *jobRunner) lostTasks(now time.Time) []state.TaskReport {
	var reports []state.TaskReport
	for ref, base := range r.leaseBase {
		job, known := r.server.machine.JobView(ref.Job)
		waits := base.IsZero() && known && r.silentSince[job.Worker].IsZero()
		if !waits && now.Sub(base) > taskLease+leaseMargin {
			reports = append(reports, state.TaskReport{Job: ref.Job, Epoch: ref.Epoch, Outcome: state.TaskLost, Reason: "the worker was silent past the lease"})
		}
	}
	return reports
}

func (r *jobRunner) announceReports(reports []state.TaskReport, answer state.TaskReportsAnswer) {
	for _, report := range reports {
		if report.Outcome == state.TaskRunning || report.Outcome == state.TaskCheckpointed {
			continue
		}
		r.server.recorder.Record(timeline.Event{Kind: timeline.JobEnded, Job: report.Job, Cause: string(report.Outcome) + " " + report.Reason})
	}
	for _, vm := range slices.Sorted(maps.Keys(asSet(answer.Quarantined))) {
		r.server.recorder.Record(timeline.Event{Kind: timeline.WorkerQuarantined, VM: vm, Cause: "distinct jobs failed on it in a row"})
	}
}

func asSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
