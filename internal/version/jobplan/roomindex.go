package jobplan

import (
	"slices"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// roomIndex finds the workers a job may run on.
type roomIndex struct {
	byPool map[string][]*Worker
	all    []*Worker
}

// newRoomIndex indexes the workers that have anything for jobs.
func newRoomIndex(workers []Worker, room map[string]fleet.Resources) *roomIndex {
	index := &roomIndex{byPool: map[string][]*Worker{}}
	for i := range workers {
		worker := &workers[i]
		if worker.Capacity.CPUCores <= 0 && worker.Capacity.Accelerators <= 0 {
			continue
		}
		index.all = append(index.all, worker)
		index.byPool[worker.Pool] = append(index.byPool[worker.Pool], worker)
	}
	return index
}

// candidates returns the workers of the job's pools.
func (x *roomIndex) candidates(job *Job) []*Worker {
	if len(job.Pools) == 0 {
		return x.all
	}
	if len(job.Pools) == 1 {
		return x.byPool[job.Pools[0]]
	}
	var found []*Worker
	pools := slices.Clone(job.Pools)
	slices.Sort(pools)
	for _, pool := range slices.Compact(pools) {
		found = append(found, x.byPool[pool]...)
	}
	return found
}

// everFits says that some worker of the job's pools is large enough.
func (x *roomIndex) everFits(job *Job, demand fleet.Resources) bool {
	return slices.ContainsFunc(x.candidates(job), func(worker *Worker) bool { return Fits(demand, worker.Capacity) })
}
