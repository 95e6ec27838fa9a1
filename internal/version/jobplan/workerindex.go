package jobplan

import (
	"slices"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// workerState is a worker with what the plan has done to it so far.
type workerState struct {
	*Worker
	// room is what is free.
	room fleet.Resources
	// freeing is what ordered tasks will give back, less what of it is
	// promised to urgent jobs.
	freeing fleet.Resources
	running []*Job
	// placed says that the plan put a job here.
	placed bool
}

// mayTake says that the worker may be given the job, room aside. A
// quarantined worker on probe takes one job that is not urgent.
func (w *workerState) mayTake(job *Job) bool {
	if !w.Schedulable || w.Unresponsive || slices.Contains(job.AvoidWorkers, w.Name) {
		return false
	}
	if !w.Quarantined {
		return true
	}
	return w.Probe && !job.Urgent && !w.placed && len(w.running) == 0
}

// workerIndex finds workers by name and by pool.
type workerIndex struct {
	byName map[string]*workerState
	byPool map[string][]*workerState
	// all holds every worker, in the order of the input.
	all []*workerState
}

func newWorkerIndex(workers []Worker) *workerIndex {
	x := &workerIndex{byName: make(map[string]*workerState, len(workers)), byPool: map[string][]*workerState{}}
	for i := range workers {
		worker := &workerState{Worker: &workers[i], room: workers[i].Capacity}
		x.byName[worker.Name] = worker
		x.byPool[worker.Pool] = append(x.byPool[worker.Pool], worker)
		x.all = append(x.all, worker)
	}
	return x
}

// candidates returns the workers of the job's pools.
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

// everFits says that some worker of the job's pools is large enough.
func (x *workerIndex) everFits(job *Job, demand fleet.Resources) bool {
	return slices.ContainsFunc(x.candidates(job), func(worker *workerState) bool { return Fits(demand, worker.Capacity) })
}
