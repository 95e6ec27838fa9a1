package admit

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/durations"
	"arbutusward.example/arbutusward/internal/version/overload"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/rebalance"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// RefusesForBacklog reports whether a deployment asks for jobs to be refused when they
// would be too late. Without a published load no job is refused.
func RefusesForBacklog(c *catalog.Catalog) bool { return c.AccessControl }

// Survey collects a snapshot of the pools. Workers are added first, then the plan of the
// fleet, then jobs.
type Survey struct {
	view *workstate.View
	// wallMS is the time on the state's clock.
	wallMS   int64
	snapshot *Snapshot
}

// NewSurvey returns an empty survey of a state. The time is given on the local clock and
// on the state's.
func NewSurvey(v *workstate.View, models map[string]durations.Model, now time.Time, wallMS int64) *Survey {
	return &Survey{view: v, wallMS: wallMS, snapshot: &Snapshot{At: now, Pools: map[string]*overload.Pool{}, Durations: models}}
}

// Snapshot returns what was collected.
func (s *Survey) Snapshot() *Snapshot { return s.snapshot }

func (s *Survey) pool(service string) *overload.Pool {
	p := s.snapshot.Pools[service]
	if p == nil {
		p = &overload.Pool{}
		s.snapshot.Pools[service] = p
	}
	return p
}

// AddWorker adds a worker that accepts tasks.
func (s *Survey) AddWorker(service string, capacity workload.Resources) {
	p := s.pool(service)
	p.Room = p.Room.Add(capacity)
}

// AddPlan adds the VMs that the plan of the fleet lets join the pools, each with the mean
// capacity.
func (s *Survey) AddPlan(pools []rebalance.Pool, vms []rebalance.VM, mean workload.Resources) {
	sizes := map[string]overload.PoolSize{}
	for i := range pools {
		sizes[pools[i].Name] = overload.PoolSize{Desired: pools[i].Desired}
	}
	for i := range vms {
		size := sizes[vms[i].Pool]
		switch {
		case vms[i].Serving:
			size.Serving++
		case vms[i].Movable:
			size.Idle++
		}
		sizes[vms[i].Pool] = size
	}
	planned := overload.PlannedVMs(sizes)
	for name, p := range s.snapshot.Pools {
		p.Planned = plannedRoom(p.Room, planned[name], mean)
	}
}

// plannedRoom returns the room of a number of mean VMs, or what there is if that is
// more.
func plannedRoom(room workload.Resources, vms int, mean workload.Resources) workload.Resources {
	return workload.Resources{
		MilliCPU: max(room.MilliCPU, int64(vms)*mean.MilliCPU),
		MemoryMB: max(room.MemoryMB, int64(vms)*mean.MemoryMB),
	}
}

// AddLimits adds the quotas of the accounts to all pools that have workers.
func (s *Survey) AddLimits() {
	accounts := s.view.Catalog().Accounts
	for _, p := range s.snapshot.Pools {
		for i := range accounts {
			p.LimitAccount(accounts[i].Name, accounts[i].Limit)
		}
	}
}

// CountWaiting counts the tasks that wait and did not start.
func (s *Survey) CountWaiting(groups []*placement.Group, starts []workstate.Start) {
	for _, g := range groups {
		if !g.LongRunning {
			s.pool(g.Service).WaitingTasks += len(g.Indexes)
		}
	}
	for i := range starts {
		job := s.view.Job(starts[i].Task.Job)
		if !job.Spec.Steps[starts[i].Task.Step].LongRunning {
			s.pool(s.view.ServiceOf(job)).WaitingTasks--
		}
	}
}

// AddJob adds what a job executes and, unless it is of no use any more, its other work.
// Executed returns how long the run of a task has executed.
func (s *Survey) AddJob(job *workstate.Job, executed func(workload.TaskID) time.Duration) {
	queue := s.view.Queue(job.Queue)
	if queue == nil {
		return
	}
	pool, model := s.pool(s.view.ServiceOf(job)), s.snapshot.Durations[job.Queue]
	job.EachExecuting(func(id workload.TaskID, _ *workstate.Task) {
		addRun(pool, &job.Spec.Steps[id.Step], model, executed(id))
	})
	if job.Outcome != workstate.Open {
		return
	}
	var assessed overload.Job
	assessed.Assess(&job.Spec, queue, model, pool.Room)
	weight := s.view.Catalog().Account(job.Account).ShareWeight()
	for k := job.OccurrencesDone; k < job.Spec.Occurrences() && job.Spec.DueMS(k) <= s.wallMS; k++ {
		age := time.Duration(s.wallMS-job.ArrivedMS(k)) * time.Millisecond
		if assessed.Objective > 0 && age > placement.Useful(assessed.Objective) {
			continue
		}
		if !job.OverRate {
			pool.AddArrival(assessed.Work, age)
		}
		if work := waitingWork(job, k, model, pool.Room); work > 0 {
			pool.Add(job.Account, weight, queue.Priority, job.OverRate, work)
		}
	}
}

// addRun adds an executing run. A long-running task takes room away for as long as it
// executes.
func addRun(pool *overload.Pool, step *workload.Step, model durations.Model, executed time.Duration) {
	if step.LongRunning {
		pool.Room, pool.Planned = pool.Room.Sub(step.Charge()), pool.Planned.Sub(step.Charge())
		return
	}
	cores := overload.DominantCores(step.Charge(), pool.Room)
	pool.InUse += cores
	pool.Running += cores * overload.Remaining(model.Predict(step.Estimate), executed).Seconds()
}

// waitingWork returns the work of the tasks of one occurrence that do not execute, also
// of steps that may not start yet.
func waitingWork(job *workstate.Job, k int, model durations.Model, room workload.Resources) float64 {
	work := 0.0
	for i := range job.Spec.Steps {
		step := &job.Spec.Steps[i]
		if step.LongRunning {
			continue
		}
		waiting := step.Count
		if k < len(job.Occurrences) {
			waiting = job.Occurrences[k].Steps[i].Waiting()
		}
		work += overload.StepWork(step, waiting, model, room)
	}
	return work
}
