package scheduler

import (
	"maps"
	"time"

	"arbutusward.example/arbutusward/internal/process/scheduler/admit"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/overload"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/rebalance"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// admissionState is what the loop collects for the admission of jobs.
type admissionState struct {
	// board is where the load is published; nil if nobody reads it.
	board *admit.Board
	// pools are those of the newest plan of the fleet.
	pools []rebalance.Pool
	// durations is what is learned of each queue.
	durations map[string]overload.Durations
	// publishedAt is when the load was last published.
	publishedAt time.Time
}

// refusesForBacklog reports whether a deployment asks for jobs to be refused when they
// would be too late. Without a published load no job is refused.
func refusesForBacklog(c *catalog.Catalog) bool { return c.AccessControl }

// learnDuration learns from a run that a worker reports as done how long it executed.
func (s *admissionState) learnDuration(queue string, step *workload.Step, executed time.Duration) {
	if s.durations == nil {
		s.durations = map[string]overload.Durations{}
	}
	d := s.durations[queue]
	d.Add(step.Estimate, executed)
	s.durations[queue] = d
}

// publishLoad publishes the load of all pools after a round, for the admission of jobs.
func (l *loop) publishLoad(v *workstate.View, u *usage, groups []*placement.Group, starts []workstate.Start, now time.Time) {
	if l.admission.board == nil || now.Sub(l.admission.publishedAt) < fleetInterval {
		return
	}
	l.admission.publishedAt = now
	if !refusesForBacklog(v.Catalog()) {
		l.admission.board.Drop()
		return
	}
	s := &poolSurvey{
		loop: l, view: v, now: now, wallMS: l.Now().UnixMilli(),
		snapshot: &admit.Snapshot{At: now, Pools: map[string]*overload.Pool{}, Durations: maps.Clone(l.admission.durations)},
	}
	s.addRoom(u)
	s.countWaiting(groups, starts)
	for _, job := range v.Active() {
		s.addJob(job)
	}
	l.admission.board.Publish(s.snapshot)
}

// poolSurvey collects a snapshot of the pools.
type poolSurvey struct {
	loop     *loop
	view     *workstate.View
	now      time.Time
	wallMS   int64
	snapshot *admit.Snapshot
}

func (s *poolSurvey) pool(service string) *overload.Pool {
	p := s.snapshot.Pools[service]
	if p == nil {
		p = &overload.Pool{}
		s.snapshot.Pools[service] = p
	}
	return p
}

// addRoom adds what the workers that accept tasks have, and the VMs that are planned.
func (s *poolSurvey) addRoom(u *usage) {
	l := s.loop
	sizes := map[string]overload.PoolSize{}
	for i := range l.admission.pools {
		sizes[l.admission.pools[i].Name] = overload.PoolSize{Desired: l.admission.pools[i].Desired}
	}
	for _, w := range l.workerList {
		// A worker that a new leader has not reached yet is most likely at work.
		if w.unresponsive || !w.mayGetStarts(&w.reg) || l.maintenance.isCordoned(w.reg.VM) || l.hasOpenOrder(w.reg.VM) || l.draining[w.reg.VM] {
			continue
		}
		p := s.pool(w.reg.Service)
		p.Room = p.Room.Add(w.reg.Capacity)
	}
	for _, vm := range l.rebalanceVMs(u, s.now) {
		size := sizes[vm.Pool]
		switch {
		case vm.Serving:
			size.Serving++
		case vm.Movable:
			size.Idle++
		}
		sizes[vm.Pool] = size
	}
	planned := overload.PlannedVMs(sizes)
	for name, p := range s.snapshot.Pools {
		p.Planned = plannedRoom(p.Room, planned[name], l.vmCapacity)
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

// countWaiting counts the tasks that could not start in this round.
func (s *poolSurvey) countWaiting(groups []*placement.Group, starts []workstate.Start) {
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

// addJob adds what a job executes and, unless it is of no use any more, its other work.
func (s *poolSurvey) addJob(job *workstate.Job) {
	queue := s.view.Queue(job.Queue)
	if queue == nil {
		return
	}
	pool, durations := s.pool(s.view.ServiceOf(job)), s.snapshot.Durations[job.Queue]
	job.EachExecuting(func(id workload.TaskID, _ *workstate.Task) {
		s.addRun(pool, id, &job.Spec.Steps[id.Step], durations)
	})
	if job.Outcome != workstate.Open {
		return
	}
	var assessed overload.Job
	assessed.Assess(&job.Spec, queue, durations, pool.Room)
	weight := s.weight(job.Account)
	for k := job.OccurrencesDone; k < job.Spec.Occurrences() && job.Spec.DueMS(k) <= s.wallMS; k++ {
		arrivedMS := max(job.AcceptedMS, job.Spec.DueMS(k))
		age := time.Duration(s.wallMS-arrivedMS) * time.Millisecond
		if assessed.Objective > 0 && age > overload.Useful(assessed.Objective) {
			continue
		}
		if !job.OverRate {
			pool.AddArrival(assessed.Work, age)
		}
		if work := waitingWork(job, k, durations, pool.Room); work > 0 {
			pool.Add(job.Account, weight, queue.Priority, job.OverRate, work)
		}
	}
}

// addRun adds an executing run. A long-running task takes room away for as long as it
// executes.
func (s *poolSurvey) addRun(pool *overload.Pool, id workload.TaskID, step *workload.Step, durations overload.Durations) {
	if step.LongRunning {
		pool.Room, pool.Planned = pool.Room.Sub(step.Charge()), pool.Planned.Sub(step.Charge())
		return
	}
	executed := time.Duration(0)
	if r := s.loop.runs.get(id); r != nil && !r.orderedAt.IsZero() {
		executed = s.now.Sub(r.orderedAt)
	}
	cores := overload.DominantCores(step.Charge(), pool.Room)
	pool.InUse += cores
	pool.Running += cores * overload.Remaining(durations.Expected(step.Estimate), executed).Seconds()
}

// waitingWork returns the work of the tasks of one occurrence that do not execute, also
// of steps that may not start yet.
func waitingWork(job *workstate.Job, k int, durations overload.Durations, room workload.Resources) float64 {
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
		work += overload.StepWork(step, waiting, durations, room)
	}
	return work
}

// weight returns the weight of an account, which is 1 for jobs without one.
func (s *poolSurvey) weight(account string) float64 { return accountWeight(s.view, account) }

func accountWeight(v *workstate.View, account string) float64 {
	if a := v.Catalog().Account(account); a != nil && a.Weight > 0 {
		return a.Weight
	}
	return 1
}
