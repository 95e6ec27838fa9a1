package jobplan

import (
	"slices"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// workerState is a worker together with the steps that the plan has made on it
// so far.
type workerState struct {
	*Worker
	// free is the capacity that is not reserved.
	free fleet.Resources
	// freeing is the capacity that preempted tasks will release, less the part
	// that is assigned to urgent jobs.
	freeing fleet.Resources
	running []*Job
	// placed is true if the plan has placed a job on the worker.
	placed bool
}

// canRun reports whether the worker is eligible for the job, regardless of
// free capacity. A quarantined worker with a probe accepts one job that is not
// urgent.
func (w *workerState) canRun(job *Job) bool {
	if !w.Schedulable || w.Unresponsive || slices.Contains(job.AvoidWorkers, w.Name) {
		return false
	}
	if !w.Quarantined {
		return true
	}
	return w.Probe && !job.Urgent && !w.placed && len(w.running) == 0
}

// workerIndex looks up workers by name and by pool.
type workerIndex struct {
	byName map[string]*workerState
	byPool map[string][]*workerState
	// all holds every worker in the order of the input.
	all []*workerState
}

func newWorkerIndex(workers []Worker) *workerIndex {
	x := &workerIndex{byName: make(map[string]*workerState, len(workers)), byPool: map[string][]*workerState{}}
	for i := range workers {
		worker := &workerState{Worker: &workers[i], free: workers[i].Capacity}
		x.byName[worker.Name] = worker
		x.byPool[worker.Pool] = append(x.byPool[worker.Pool], worker)
		x.all = append(x.all, worker)
	}
	return x
}

// candidates returns the workers of the pools in which the job may run.
func (x *workerIndex) candidates(job *Job) []*workerState {
	if len(job.Pools) == 0 {
		return x.all
	}
	if len(job.Pools) == 1 {
		return x.byPool[job.Pools[0]]
	}
	var found []*workerState
	pools := slices.Clone(job.Pools)
	slices.Sort(pools)
	for _, pool := range slices.Compact(pools) {
		found = append(found, x.byPool[pool]...)
	}
	return found
}

// fitsSomeWorker reports whether the demand fits into the total capacity of
// some worker in the job's pools.
func (x *workerIndex) fitsSomeWorker(job *Job, demand fleet.Resources) bool {
	return slices.ContainsFunc(x.candidates(job), func(worker *workerState) bool { return Fits(demand, worker.Capacity) })
}
