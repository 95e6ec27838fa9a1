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

// Timing of the job runner.
const (
	// roundInterval is the interval between rounds.
	roundInterval = 500 * time.Millisecond
	// taskLeaseTime is how long a task keeps running without contact to
	// control.
	taskLeaseTime = 6 * time.Second
	// maxStampAge is the maximum age of a worker's stamp that a lease may be
	// based on.
	maxStampAge = 3 * time.Second
	// leaseMargin is added to the lease before a task on an unresponsive
	// worker counts as lost. It covers the drift between the two clocks.
	leaseMargin = 2 * time.Second
	// syncInterval is the interval between calls to a worker that has no
	// changes.
	syncInterval = 1500 * time.Millisecond
)

// maxPasses limits the passes of one round: the answers of workers to new
// orders are recorded and planned for in the same round.
const maxPasses = 4

// maxSyncsAtOnce limits the concurrent calls to workers.
const maxSyncsAtOnce = 32

// usageThreshold is the relative change of a task's usage above which the new
// usage is recorded.
const usageThreshold = 0.1

// jobRunner executes job plans while this process leads. It belongs to one
// goroutine.
type jobRunner struct {
	server  *Server
	workers workerapi.Client
	// leaseStart is the time from which the lease of each attempt counts. It
	// is not before the worker's stamp that the lease is based on, and zero
	// while no lease was granted. The lease of an attempt that was already
	// running when this process became the leader counts from then.
	leaseStart map[workerapi.TaskRef]time.Time
	// unresponsiveSince is the time of the first failed call to each worker
	// that does not answer.
	unresponsiveSince map[string]time.Time
	// adopted is set once the attempts that were running at the start have
	// been added to leaseStart.
	adopted bool
	// clocks holds the newest stamp of each worker.
	clocks map[string]workerClock
	// syncedAt is the time of the last call to each worker.
	syncedAt map[string]time.Time
	// forgettable lists the ended attempts that each worker can drop.
	forgettable map[string][]workerapi.TaskRef
	// dirty marks the workers that have new tasks or orders.
	dirty map[string]bool
}

// workerClock is a worker's stamp and the time when it was received.
type workerClock struct {
	stamp      workerapi.Stamp
	receivedAt time.Time
}

func newJobRunner(server *Server, workers workerapi.Client) *jobRunner {
	return &jobRunner{
		server: server, workers: workers,
		leaseStart: map[workerapi.TaskRef]time.Time{}, clocks: map[string]workerClock{},
		unresponsiveSince: map[string]time.Time{}, syncedAt: map[string]time.Time{},
		forgettable: map[string][]workerapi.TaskRef{}, dirty: map[string]bool{},
	}
}

// run executes plans until the context ends with the leadership.
func (r *jobRunner) run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
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

// round calls the workers, records their answers and plans. It repeats this
// while the plan has steps, up to maxPasses times.
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

// step makes a plan and proposes it as one command. It returns false if the
// plan is empty.
func (r *jobRunner) step(ctx context.Context) (bool, error) {
	input, epochs := r.server.machine.JobInput(time.Now().UnixMilli())
	for i := range input.Workers {
		input.Workers[i].Unresponsive = !r.unresponsiveSince[input.Workers[i].Name].IsZero()
	}
	steps := stepsOf(input, jobplan.NewPlan(input), epochs)
	if len(steps.Placements)+len(steps.Preemptions)+len(steps.Blocked) == 0 {
		return false, nil
	}
	if _, err := propose[state.JobStepsAnswer](ctx, r.server, state.StepJobs, steps); err != nil {
		return false, err
	}
	r.recordSteps(steps)
	return true, nil
}

// stepsOf converts a plan to a command. It adds the epochs that the plan is
// based on and omits reasons that are already recorded.
func stepsOf(input *jobplan.Input, plan jobplan.Plan, epochs map[string]uint64) state.JobSteps {
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

// recordSteps marks the affected workers as dirty and records the steps in
// the timeline.
func (r *jobRunner) recordSteps(steps state.JobSteps) {
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

// syncWorkers calls the workers that have changes or are due, and returns
// their answers.
func (r *jobRunner) syncWorkers(ctx context.Context) map[string]workerapi.SyncAnswer {
	syncs := r.dueSyncs(time.Now())
	r.refreshClocks(ctx, syncs)
	for vm, body := range syncs {
		if time.Since(r.clocks[vm].receivedAt) > maxStampAge {
			// The worker did not answer, so no lease can be granted.
			delete(syncs, vm)
			continue
		}
		syncs[vm] = r.grantLeases(vm, body)
	}
	answers := r.callAll(ctx, syncs)
	for vm := range answers {
		delete(r.forgettable, vm)
	}
	return answers
}

// refreshClocks requests a new stamp from the workers whose known stamp is
// too old for a lease.
func (r *jobRunner) refreshClocks(ctx context.Context, syncs map[string]workerapi.Sync) {
	stale := map[string]workerapi.Sync{}
	for vm := range syncs {
		if time.Since(r.clocks[vm].receivedAt) > maxStampAge {
			stale[vm] = workerapi.Sync{}
		}
	}
	r.callAll(ctx, stale)
}

// grantLeases adds a lease to a call, based on the worker's stamp. The lease
// counts from the receipt of that stamp, whether or not the call is answered.
func (r *jobRunner) grantLeases(vm string, body workerapi.Sync) workerapi.Sync {
	clock := r.clocks[vm]
	body.AsOf = clock.stamp
	body.LeaseMS = taskLeaseTime.Milliseconds()
	for _, task := range body.Tasks {
		ref := workerapi.TaskRef{Job: task.Job, Epoch: task.Epoch}
		if clock.receivedAt.After(r.leaseStart[ref]) {
			r.leaseStart[ref] = clock.receivedAt
		}
	}
	return body
}

// callAll calls the workers, a limited number concurrently, and stores the
// stamps in their answers.
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
				r.markUnresponsive(vm, err)
				return
			}
			delete(r.unresponsiveSince, vm)
			answers[vm] = answer
			r.clocks[vm] = workerClock{stamp: answer.Now, receivedAt: time.Now()}
		})
	}
	group.Wait()
	return answers
}

// markUnresponsive records the first failed call to a worker since its last
// answer.
func (r *jobRunner) markUnresponsive(vm string, err error) {
	if r.unresponsiveSince[vm].IsZero() {
		r.unresponsiveSince[vm] = time.Now()
		r.server.log.Warn("worker unresponsive", "vm", vm, logging.Err(err))
	}
}

// dueSyncs returns the calls to workers that have changes or were not called
// for syncInterval, and drops the attempts that have ended from leaseStart.
func (r *jobRunner) dueSyncs(now time.Time) map[string]workerapi.Sync {
	byWorker := map[string][]workerapi.TaskOrder{}
	live := map[workerapi.TaskRef]time.Time{}
	for _, job := range r.server.machine.ActiveJobs() {
		if job.Phase != jobplan.Running {
			continue
		}
		ref := workerapi.TaskRef{Job: job.Spec.ID, Epoch: job.Epoch}
		live[ref] = r.leaseStart[ref]
		if !r.adopted {
			live[ref] = now
		}
		byWorker[job.Worker] = append(byWorker[job.Worker], taskOrder(job))
	}
	r.leaseStart = live
	r.adopted = true
	syncs := map[string]workerapi.Sync{}
	for vm := range r.forgettable {
		syncs[vm] = workerapi.Sync{Tasks: byWorker[vm], Forget: r.forgettable[vm]}
	}
	for vm := range r.unresponsiveSince {
		if now.Sub(r.syncedAt[vm]) >= syncInterval {
			syncs[vm] = workerapi.Sync{Tasks: byWorker[vm]}
		}
	}
	for vm, tasks := range byWorker {
		if r.dirty[vm] || now.Sub(r.syncedAt[vm]) >= syncInterval {
			syncs[vm] = workerapi.Sync{Tasks: tasks, Forget: r.forgettable[vm]}
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

// record proposes the changes that the workers reported, and the loss of
// attempts whose lease has expired.
func (r *jobRunner) record(ctx context.Context, answers map[string]workerapi.SyncAnswer) error {
	var reports []state.TaskReport
	for vm, answer := range answers {
		for _, task := range answer.Tasks {
			report, changed := r.reportFor(vm, task)
			if changed {
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
	r.recordReports(reports, answer)
	return nil
}

// reportFor converts a worker's task state to a report, and reports whether
// it has to be recorded. A worker may drop an ended attempt once its end is
// recorded.
func (r *jobRunner) reportFor(vm string, task workerapi.TaskInfo) (state.TaskReport, bool) {
	report := state.TaskReport{Job: task.Job, Epoch: task.Epoch, Outcome: outcomeOf(task.State), Used: task.PeakUsage, RunMS: task.RunMS, Reason: task.Reason}
	job, known := r.server.machine.JobView(task.Job)
	current := known && job.Phase == jobplan.Running && job.Epoch == task.Epoch && job.Worker == vm
	if !current {
		if task.State.Ended() {
			r.forgettable[vm] = append(r.forgettable[vm], workerapi.TaskRef{Job: task.Job, Epoch: task.Epoch})
		}
		return report, false
	}
	switch report.Outcome {
	case state.TaskRunning:
		return report, usageChanged(job.Used, task.PeakUsage)
	case state.TaskCheckpointed:
		return report, !job.Checkpointed || usageChanged(job.Used, task.PeakUsage)
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

// usageChanged reports whether the usage differs by more than usageThreshold.
func usageChanged(recorded, reported fleet.Resources) bool {
	changed := func(a, b float64) bool { return b > a*(1+usageThreshold) || b < a*(1-usageThreshold) }
	return changed(recorded.CPUCores, reported.CPUCores) || changed(recorded.MemoryGiB, reported.MemoryGiB)
}

// lostTasks returns the attempts that cannot be running any more: those whose
// lease has expired, and those on unresponsive workers that never got a
// lease.
func (r *jobRunner) lostTasks(now time.Time) []state.TaskReport {
	var reports []state.TaskReport
	for ref, base := range r.leaseStart {
		job, known := r.server.machine.JobView(ref.Job)
		waiting := base.IsZero() && known && r.unresponsiveSince[job.Worker].IsZero()
		if !waiting && now.Sub(base) > taskLeaseTime+leaseMargin {
			reports = append(reports, state.TaskReport{Job: ref.Job, Epoch: ref.Epoch, Outcome: state.TaskLost, Reason: "the worker was silent past the lease"})
		}
	}
	return reports
}

// recordReports records ended attempts and quarantined workers in the
// timeline.
func (r *jobRunner) recordReports(reports []state.TaskReport, answer state.TaskReportsAnswer) {
	for _, report := range reports {
		if report.Outcome == state.TaskRunning || report.Outcome == state.TaskCheckpointed {
			continue
		}
		r.server.recorder.Record(timeline.Event{Kind: timeline.JobEnded, Job: report.Job, Cause: string(report.Outcome) + " " + report.Reason})
	}
	for _, vm := range slices.Sorted(maps.Keys(toSet(answer.Quarantined))) {
		r.server.recorder.Record(timeline.Event{Kind: timeline.WorkerQuarantined, VM: vm, Cause: "distinct jobs failed on it in a row"})
	}
}

func toSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
