package scheduler

import (
	"cmp"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// relocationRoom holds the workers that may take the long-running tasks of others, by
// service, those with the most free CPU capacity first.
type relocationRoom map[string][]freeWorker

// freeWorker is a worker and its free capacity.
type freeWorker struct {
	reg  *workstate.Worker
	free workload.Resources
}

// relocationRoom returns the workers that accept tasks and are not about to be drained
// or moved. It is empty if there are no long-running tasks.
func (l *loop) relocationRoom(u *usage, now time.Time) relocationRoom {
	if u.longRunning == 0 {
		return nil
	}
	room := relocationRoom{}
	for _, w := range l.workerList {
		if w.schedulable(now) && !l.maintenance.due[w.reg.VM] && !l.hasOpenOrder(w.reg.VM) {
			room[w.reg.Service] = append(room[w.reg.Service], freeWorker{&w.reg, w.reg.Capacity.Sub(u.usedOn(w))})
		}
	}
	for _, workers := range room {
		slices.SortFunc(workers, func(a, b freeWorker) int { return cmp.Compare(b.free.MilliCPU, a.free.MilliCPU) })
	}
	return room
}

// canRelocate reports whether each long-running task of a worker fits on another
// worker of the pool.
func (r relocationRoom) canRelocate(u *usage, from *worker) bool {
	tasks := u.load(from).longRunning
	for i := range tasks {
		if !r.fits(u, &tasks[i], from) {
			return false
		}
	}
	return true
}

// fits reports whether a long-running task fits on another worker of the pool.
func (r relocationRoom) fits(u *usage, t *longRunningTask, from *worker) bool {
	for _, other := range r[from.reg.Service] {
		if other.free.MilliCPU < t.charge.MilliCPU {
			return false
		}
		if other.reg.ID == from.reg.ID || !other.free.Fits(t.charge) {
			continue
		}
		if t.maxPerWorker == 0 || u.stepOnWorker[stepOnWorker{stepKeyOf(t.id), other.reg.ID}] < t.maxPerWorker {
			return true
		}
	}
	return false
}
