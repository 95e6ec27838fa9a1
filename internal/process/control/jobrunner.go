package control

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workerapi"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
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
	// cutOff is set while this leader has no contact to a majority.
	cutOff bool
	// caughtUp is set once the local state holds everything that former leaders
	// committed.
	caughtUp bool
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
	if err := r.catchUp(ctx); err != nil {
		return err
	}
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

// catchUp returns nil once the local state holds everything that former leaders
// committed. Before that, attempts that this process does not know may be running.
func (r *jobRunner) catchUp(ctx context.Context) error {
	if r.caughtUp {
		return nil
	}
	err := r.server.replica.ReadBarrier(ctx)
	r.caughtUp = err == nil
	return logging.Wrap(err, "catch up", r.server.settings.ID)
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
		r.markDirty(o.Job)
		r.server.recorder.Record(timeline.Event{Kind: timeline.JobPreempted, Job: o.Job, Cause: string(o.Order) + ": " + o.Reason})
	}
	for _, b := range steps.Blocked {
		r.server.recorder.Record(timeline.Event{Kind: timeline.JobBlocked, Job: b.Job, Cause: b.Reason})
	}
}

// markDirty marks the worker of a job as dirty, if the job runs.
func (r *jobRunner) markDirty(id string) {
	if job, known := r.server.machine.JobView(id); known && job.Phase == jobplan.Running {
		r.dirty[job.Worker] = true
	}
}

func toSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
