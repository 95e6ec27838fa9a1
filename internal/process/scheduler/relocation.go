package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/relocation"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// relocationPlan returns this round's plan of the workers that close. All that drain
// VMs share it, so that no two of them count on the same room.
func (l *loop) relocationPlan(v *workstate.View, u *usage, now time.Time) *relocation.Plan {
	if u.relocation == nil {
		u.relocation = relocation.NewPlan(relocation.Snapshot{
			Workers: l.relocationWorkers(u, now), Pools: l.relocationPools(v, u, now), Waiting: u.awaiting, Unavailable: u.unavailable,
		})
	}
	return u.relocation
}

// relocationWorkers returns all registered workers.
func (l *loop) relocationWorkers(u *usage, now time.Time) []relocation.Worker {
	workers := make([]relocation.Worker, len(l.workerList))
	for i, w := range l.workerList {
		tasks := relocationTasks(u.load(w).longRunning)
		room := w.reg.Capacity
		for t := range tasks {
			room = room.Sub(tasks[t].Charge)
		}
		_, closing := l.maintenance.previously[w.reg.VM]
		workers[i] = relocation.Worker{
			ID: w.reg.ID, Service: w.reg.Service, Labels: w.reg.Labels, Room: room, Tasks: tasks,
			Open:         w.schedulable(now) && l.capacityKnown(w, now) && !l.hasOpenOrder(w.reg.VM),
			DrainPending: l.maintenance.due[w.reg.VM], Closing: closing,
		}
	}
	return workers
}

func relocationTasks(tasks []longRunningTask) []relocation.Task {
	if len(tasks) == 0 {
		return nil
	}
	list := make([]relocation.Task, len(tasks))
	for i := range tasks {
		list[i] = tasks[i].Task
	}
	return list
}

// relocationPools returns the load of each pool and the number of its VMs that are
// down and come back.
func (l *loop) relocationPools(v *workstate.View, u *usage, now time.Time) map[string]relocation.Pool {
	pools := make(map[string]relocation.Pool, len(u.poolLoad))
	for service, load := range u.poolLoad {
		kept, yields := u.yielding[service]
		pools[service] = relocation.Pool{Load: float64(load), Yields: yields, Kept: kept}
	}
	for _, e := range l.fleet.entries {
		service := e.vm.Pool
		if e.order != nil && e.order.pool != "" {
			service = e.order.pool
		}
		if l.isReturning(u, e, now) && !isStandby(v, service) {
			pool := pools[service]
			pool.Away++
			if !l.maintenance.dueAgain[e.vm.ID] {
				pool.Returning++
			}
			pools[service] = pool
		}
	}
	return pools
}

// newRelocationTask returns a long-running task as the relocation plan sees it.
func newRelocationTask(id workload.TaskID, step *workload.Step, service string) relocation.Task {
	return relocation.Task{
		Step: id.StepID(), Service: service, Charge: step.Charge(), MaxPerWorker: step.MaxPerWorker,
		Label: step.RequiredLabel, Budget: step.DisruptionBudget,
	}
}
