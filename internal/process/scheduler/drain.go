package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/rebalance"
	"arbutusward.example/arbutusward/internal/version/relocation"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// minDrainAge is the minimum age of a run before a drain stops it, so that a
// task is not moved over and over. A pool that yields VMs to others waits for it only with
// tasks that have been stopped before, but lets the tasks end whose jobs can still be in time.
const minDrainAge = time.Second

// drainForPools drains VMs that other pools need. They get no new tasks, and
// their long-running tasks and those with checkpoints continue on other
// workers.
func (l *loop) drainForPools(vms []string, v *workstate.View, u *usage, now time.Time) {
	for _, vm := range vms {
		if w := u.workerOn[vm]; !u.needsRelocation(w) || l.relocationPlan(v, u, now).Close(w.reg.ID, relocation.Yielding) == nil {
			l.draining[vm] = true
		}
	}
	if len(l.draining) == 0 {
		return
	}
	for _, w := range l.workerList {
		if l.draining[w.reg.VM] {
			l.evacuate(u, w, now)
		}
	}
	for _, t := range u.resumable {
		w := l.workers[t.worker]
		r := l.runs.Get(t.id)
		if w == nil || !l.draining[w.reg.VM] || r == nil || r.phase != runOrdered || r.calling {
			continue
		}
		if !u.mayStopForDrain(t.id, r, w, now) {
			continue
		}
		l.Log.Info("stopping task, another pool needs its VM", "task", t.id.String(), "run", r.number, "worker", t.worker, "vm", w.reg.VM)
		l.sendStop(t.id, r, now)
	}
}

// mayStopForDrain reports whether a drain stops the run of a resumable task, see minDrainAge.
func (u *usage) mayStopForDrain(id workload.TaskID, r *run, w *worker, now time.Time) bool {
	isOld := now.Sub(r.since) >= minDrainAge
	if _, yields := u.yielding[w.reg.Service]; yields {
		return u.notInTime[id.Job] && (isOld || r.number == 1)
	}
	return isOld
}

// yield records which pools yield VMs. The resumable tasks of these that a drain lets end
// count for the time until their workers are idle.
func (l *loop) yield(u *usage, pools []rebalance.Pool) {
	u.yielding = yieldingPools(pools)
	for i := range u.resumable {
		t := &u.resumable[i]
		w := l.workers[t.worker]
		if w == nil || u.notInTime[t.id.Job] {
			continue
		}
		if _, yields := u.yielding[w.reg.Service]; yields {
			u.load(w).idleIn = max(u.load(w).idleIn, t.rest)
		}
	}
}

// needsRelocation reports whether long-running tasks have to leave the worker if it
// closes, or may need its room.
func (u *usage) needsRelocation(w *worker) bool {
	return w != nil && (u.relocation != nil || len(u.awaiting) > 0 || len(u.load(w).longRunning) > 0)
}

// evacuateDraining moves the long-running tasks of workers that are about to
// shut down, which would end with them, if there is room elsewhere.
func (l *loop) evacuateDraining(v *workstate.View, u *usage, now time.Time) {
	for _, w := range l.workerList {
		if !w.reg.Draining || w.unresponsive || len(u.load(w).longRunning) == 0 {
			continue
		}
		if l.relocationPlan(v, u, now).Reserve(relocationTasks(u.load(w).longRunning)) {
			l.evacuate(u, w, now)
		}
	}
}

// resumableTask is a task that can resume from a checkpoint on another worker.
type resumableTask struct {
	id     workload.TaskID
	worker string
	// rest is how long its run is expected to execute.
	rest time.Duration
}
