package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/health"
	"arbutusward.example/arbutusward/internal/version/rebalance"
	"arbutusward.example/arbutusward/internal/version/relocation"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// usageDetail selects what is collected in a usage.
type usageDetail uint8

const (
	// capacityInUse is what placing tasks needs.
	capacityInUse usageDetail = iota
	// fleetDetails is what planFleet needs besides.
	fleetDetails
)

// usage summarizes the executing tasks. It is collected from the state in one
// pass, most of it only for planFleet.
type usage struct {
	// round is the number of the round, in which charges count.
	round uint64
	// suspectStarting is set if an unsettled run is one of a suspect. starting
	// describes the runs of each worker; it is nil unless there are suspects.
	suspectStarting bool
	starting        map[string]*workerRuns
	// executing counts the runs that the state has as executing.
	executing int
	// workerOn holds the worker of each VM, utilization the share of each
	// pool's capacity that is in use, and poolLoad the same in mean VMs. A pool has
	// the name of its service.
	workerOn    map[string]*worker
	utilization map[string]float64
	poolLoad    map[string]rebalance.Load
	// colocations describes the best-effort and serving tasks on each worker.
	colocations map[string]*colocation
	// stragglers lists the runs with reported progress, which are checked for
	// stragglers, and samples their progress.
	stragglers []straggler
	samples    []health.Sample
	// resumable lists the tasks that can resume from a checkpoint on another
	// worker.
	resumable []resumableTask
	// unavailable counts the long-running tasks of each step that are not at
	// work.
	unavailable map[workload.StepID]int
	// awaiting lists the long-running tasks that wait for a worker.
	awaiting []relocation.Task
	// yielding holds, by service, the number of VMs that a pool keeps which yields others.
	yielding map[string]int
	// notInTime holds the jobs with executing tasks that can't be in time any more or are
	// beyond the rates of their accounts.
	notInTime map[string]bool
	// relocation is the plan of the workers that close in this round, nil until it
	// is needed.
	relocation *relocation.Plan
}

// newUsage returns an empty usage for this round.
func (l *loop) newUsage(detail usageDetail) *usage {
	if detail == capacityInUse {
		return &usage{round: l.roundNumber}
	}
	return &usage{
		round: l.roundNumber, stragglers: l.stragglers[:0], samples: l.samples[:0],
		unavailable: map[workload.StepID]int{}, colocations: map[string]*colocation{}, notInTime: map[string]bool{},
	}
}

// load returns the load of a worker in this round, which is zero at first.
func (u *usage) load(w *worker) *workerLoad {
	if w.load.round != u.round {
		w.load = workerLoad{round: u.round, longRunning: w.load.longRunning[:0]}
	}
	return &w.load
}

// charge adds what a run takes to the capacity in use on its worker.
func (u *usage) charge(w *worker, charge workload.Resources) {
	load := u.load(w)
	load.used = load.used.Add(charge)
}

// usedOn returns the capacity in use on a worker.
func (u *usage) usedOn(w *worker) workload.Resources { return u.load(w).used }

// countUnrecorded adds the runs that a worker reports and that no longer count as
// recorded. They are about to be stopped, and take capacity until then.
func (l *loop) countUnrecorded(v *workstate.View, u *usage, w *worker) {
	for key := range w.report.running {
		if !l.countsOn(w.reg.ID, key) {
			u.charge(w, l.unrecordedCharge(v, w, key))
		}
	}
}

// countsOn reports whether a run counts in this round as one that executes on the
// worker.
func (l *loop) countsOn(worker string, key runKey) bool {
	r := l.recordedRun(key)
	return r != nil && r.worker == worker && !r.ending
}

// unrecordedCharge returns what a run takes of its worker's capacity: all of it, if
// its job is not known any more.
func (l *loop) unrecordedCharge(v *workstate.View, w *worker, key runKey) workload.Resources {
	job := v.Job(key.task.Job)
	if job == nil || key.task.Step >= len(job.Spec.Steps) {
		return w.reg.Capacity
	}
	return job.Spec.Steps[key.task.Step].Charge()
}

// serviceEnforces reports whether the workers of a service refuse what does not fit.
func serviceEnforces(v *workstate.View, service string) bool {
	s := v.Catalog().Service(service)
	return s != nil && s.EnforcesCapacity
}

// recordDetails records what planFleet needs to know of an executing run.
func (l *loop) recordDetails(u *usage, id workload.TaskID, task *workstate.Task, step *workload.Step, queue string, r *run, w *worker, now time.Time) {
	if w != nil {
		u.load(w).runs++
	}
	l.recordProgress(u, id, task, step, queue, r, w, now)
	u.recordColocation(id, task, step, w)
	switch {
	case step.LongRunning:
	case step.Checkpointing && !step.Gang:
		u.resumable = append(u.resumable, resumableTask{id: id, worker: task.Worker, rest: r.expectedRest(step.Estimate, now)})
	case w != nil:
		u.load(w).idleIn = max(u.load(w).idleIn, r.expectedRest(step.Estimate, now))
	}
	if step.LongRunning {
		u.countLongRunning(id, step, w, l.atWork(r, w, runKey{id, task.Run}))
	}
}

// recordPools records the worker of each VM and the utilization of each pool.
func (l *loop) recordPools(u *usage) {
	u.workerOn = l.workersByVM()
	u.utilization, u.poolLoad = map[string]float64{}, l.poolLoads(u)
	workers := map[string]float64{}
	for _, w := range l.workerList {
		workers[w.reg.Service]++
	}
	for pool, load := range u.poolLoad {
		u.utilization[pool] = float64(load) / workers[pool]
	}
}

// workersByVM returns the worker of each VM, from the table as it was synced last.
func (l *loop) workersByVM() map[string]*worker {
	if l.byVM != nil && l.byVMVersion == l.syncedVersion {
		return l.byVM
	}
	l.byVM, l.byVMVersion = make(map[string]*worker, len(l.workerList)), l.syncedVersion
	for _, w := range l.workerList {
		l.byVM[w.reg.VM] = w
	}
	return l.byVM
}

// countWaiting counts the waiting long-running tasks of a job as unavailable.
func (u *usage) countWaiting(v *workstate.View, job *workstate.Job) {
	for k := range job.Occurrences {
		for s := range job.Occurrences[k].Steps {
			if !job.Spec.Steps[s].LongRunning {
				continue
			}
			for i := range job.Occurrences[k].Steps[s].Tasks {
				if job.Occurrences[k].Steps[s].Tasks[i].Phase == workstate.Waiting {
					u.addAwaiting(workload.TaskID{Job: job.ID, Occurrence: k, Step: s, Index: i}, &job.Spec.Steps[s], v.ServiceOf(job))
				}
			}
		}
	}
}

// countEnding counts a long-running task whose run's end waits for a commit.
func (u *usage) countEnding(id workload.TaskID, step *workload.Step, service string) {
	if step.LongRunning {
		u.addAwaiting(id, step, service)
	}
}

// addAwaiting adds a long-running task that is unavailable and has no worker.
func (u *usage) addAwaiting(id workload.TaskID, step *workload.Step, service string) {
	u.unavailable[id.StepID()]++
	u.awaiting = append(u.awaiting, newRelocationTask(id, step, service))
}
