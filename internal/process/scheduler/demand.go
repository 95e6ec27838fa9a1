package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/scheduler/quota"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/durations"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/rebalance"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// demandState is what the leader knows about the load.
type demandState struct {
	// forecasts holds the load forecast of each pool.
	forecasts map[string]*rebalance.Forecast
	// meanWork holds the mean work of each queue's jobs in core seconds.
	meanWork  map[string]float64
	overheads durations.Overheads
	// durations predicts how long tasks execute.
	durations durations.Queues
	// firstArrival is the arrival time of the first job without long-running
	// tasks.
	firstArrival time.Time
	nextLog      time.Time
}

func (d *demandState) forecast(service string) *rebalance.Forecast {
	f := d.forecasts[service]
	if f == nil {
		f = &rebalance.Forecast{}
		d.forecasts[service] = f
	}
	return f
}

// handleJobArrival records a new job in the forecast of its pool.
func (l *loop) handleJobArrival(id string, now time.Time) {
	l.dirty = true
	l.Machine.Read(func(v *workstate.View) {
		job := v.Job(id)
		if job == nil {
			return
		}
		if l.demand.firstArrival.IsZero() && !job.Spec.LongRunning() {
			l.demand.firstArrival = now
		}
		l.demand.updateMeanWork(job.Queue, l.coreSeconds(job.Queue, &job.Spec))
		l.demand.forecast(v.ServiceOf(job)).AddArrival(now, l.initialLoad(&job.Spec))
	})
}

// initialLoad returns the load of the steps of a job that can start at once.
func (l *loop) initialLoad(spec *workload.Spec) rebalance.Load {
	load := rebalance.Load(0)
	for i := range spec.Steps {
		if step := &spec.Steps[i]; len(step.DependsOn) == 0 {
			load += l.load(step.Charge()) * rebalance.Load(step.Count)
		}
	}
	return load
}

// coreSeconds returns the expected work of a job of a queue.
func (l *loop) coreSeconds(queue string, spec *workload.Spec) float64 {
	work := 0.0
	for i := range spec.Steps {
		work += stepWork(&spec.Steps[i], spec.Steps[i].Count, l.predict(queue, &spec.Steps[i]))
	}
	return work
}

// stepWork returns the work of a number of tasks of a step, each of which takes a
// duration, in core seconds.
func stepWork(step *workload.Step, tasks int, duration time.Duration) float64 {
	return float64(tasks) * float64(step.Need.MilliCPU) / workload.MilliPerCore * duration.Seconds()
}

// meanWeight is the weight of the newest job in the mean work of a queue, which
// is an exponential moving average.
const meanWeight = 0.05

// updateMeanWork updates the mean work of a queue's jobs.
func (d *demandState) updateMeanWork(queue string, work float64) {
	mean, known := d.meanWork[queue]
	if !known {
		mean = work
	}
	d.meanWork[queue] = mean + meanWeight*(work-mean)
}

// load converts resources to a load: the larger of the shares of a VM's CPU and
// memory.
func (l *loop) load(r workload.Resources) rebalance.Load {
	c := l.vmCapacity
	if c.MilliCPU == 0 || c.MemoryMB == 0 {
		return 0
	}
	return rebalance.Load(max(float64(r.MilliCPU)/float64(c.MilliCPU), float64(r.MemoryMB)/float64(c.MemoryMB)))
}

// updateVMCapacity sets the mean capacity of the workers.
func (l *loop) updateVMCapacity() {
	var sum workload.Resources
	count := int64(0)
	for _, w := range l.workerList {
		if w.reg.Capacity.MilliCPU > 0 && w.reg.Capacity.MemoryMB > 0 {
			sum = sum.Add(w.reg.Capacity)
			count++
		}
	}
	if count > 0 {
		l.vmCapacity = workload.Resources{MilliCPU: sum.MilliCPU / count, MemoryMB: sum.MemoryMB / count}
	}
}

// poolLoads returns the load of the executing tasks of each pool.
func (l *loop) poolLoads(u *usage) map[string]rebalance.Load {
	loads := map[string]rebalance.Load{}
	for _, w := range l.workerList {
		if used := u.usedOn(w); used != (workload.Resources{}) {
			loads[w.reg.Service] += l.load(used)
		}
	}
	return loads
}

// poolDemands returns the load of the executing and the waiting tasks of each pool by what
// it is worth to serve it soon, and records the jobs whose executing tasks are not in time.
func (l *loop) poolDemands(v *workstate.View, u *usage, groups []*placement.Group, now time.Time) map[string]rebalance.Demand {
	demands := map[string]rebalance.Demand{}
	add := func(service string, level rebalance.Level, load rebalance.Load) {
		demand := demands[service]
		demand[level] += load
		demands[service] = demand
	}
	for service, load := range l.poolLoads(u) {
		add(service, rebalance.InTime, load)
	}
	at := planTime{now: now, wallMS: l.Now().UnixMilli()}
	for _, job := range v.Active() {
		if job.Executing == 0 || job.Outcome != workstate.Open || job.Spec.LongRunning() {
			continue
		}
		if level := levelOf(l.executingTier(v, job, at)); level != rebalance.InTime {
			u.notInTime[job.ID] = true
			service := v.ServiceOf(job)
			load := min(l.load(quota.ExecutingCharge(job)), demands[service][rebalance.InTime])
			add(service, rebalance.InTime, -load)
			add(service, level, load)
		}
	}
	quotas := quota.RecordedUse(v)
	for _, g := range groups {
		add(g.Service, levelOf(g.Tier), l.load(g.Charge)*rebalance.Load(quota.TasksWithin(quotas, g)))
	}
	return demands
}

// executingTier returns the tier of the oldest occurrence of a job that is not done.
func (l *loop) executingTier(v *workstate.View, job *workstate.Job, at planTime) placement.Tier {
	for k := range job.Occurrences {
		progress := &job.Occurrences[k]
		if progress.StepsDone < len(progress.Steps) {
			objective := l.objective(v, job, progress, k, at)
			return objective.TierAt(at.now, job.OverRate)
		}
	}
	return placement.InTime
}

// levelOf returns the level of the load of a tier.
func levelOf(tier placement.Tier) rebalance.Level {
	switch tier {
	case placement.InTime:
		return rebalance.InTime
	case placement.Late:
		return rebalance.Late
	case placement.OverRate:
		return rebalance.OverRate
	}
	return rebalance.Useless
}
