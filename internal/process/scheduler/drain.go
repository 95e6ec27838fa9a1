package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// minDrainAge is the minimum age of a run before a drain stops it, so that a
// task is not moved over and over.
const minDrainAge = time.Second

// drainForPools drains VMs that other pools need. They get no new tasks, and
// their long-running tasks and those with checkpoints continue on other
// workers.
func (l *loop) drainForPools(vms []string, u *usage, now time.Time) {
	for _, vm := range vms {
		l.draining[vm] = true
	}
	if len(vms) == 0 {
		return
	}
	for _, w := range l.workers {
		if l.draining[w.reg.VM] {
			l.evacuate(u, w, now)
		}
	}
	for _, t := range u.resumable {
		w := l.workers[t.worker]
		r := l.runs[t.id]
		if w == nil || !l.draining[w.reg.VM] || r == nil || r.phase != runOrdered || r.calling || now.Sub(r.since) < minDrainAge {
			continue
		}
		l.Log.Info("stopping task, another pool needs its VM", "task", t.id.String(), "run", r.number, "worker", t.worker, "vm", w.reg.VM)
		l.sendStop(t.id, r, now)
	}
}

// evacuateDraining moves the long-running tasks of workers that are about to
// shut down, which would end with them, if there is room elsewhere.
func (l *loop) evacuateDraining(u *usage, now time.Time) {
	if len(u.longRunningTasks) == 0 {
		return
	}
	for _, w := range l.workers {
		if w.reg.Draining && !w.unresponsive && u.longRunningRuns[w.reg.ID] > 0 && l.canRelocate(u, w, now) {
			l.evacuate(u, w, now)
		}
	}
}

// resumableTask is a task that can resume from a checkpoint on another worker.
type resumableTask struct {
	id     workload.TaskID
	worker string
}

// canRelocate reports whether each long-running task of a worker fits on
// another worker of the pool.
func (l *loop) canRelocate(u *usage, from *worker, now time.Time) bool {
	for i := range u.longRunningTasks {
		t := &u.longRunningTasks[i]
		if t.worker == from.reg.ID && !l.fitsElsewhere(u, t, from, now) {
			return false
		}
	}
	return true
}

// fitsElsewhere reports whether a long-running task fits on another schedulable
// worker of the pool.
func (l *loop) fitsElsewhere(u *usage, t *longRunningTask, from *worker, now time.Time) bool {
	for id, w := range l.workers {
		if w == from || w.reg.Service != from.reg.Service || !w.schedulable(now) || l.maintenance.due[w.reg.VM] || l.hasOpenOrder(w.reg.VM) {
			continue
		}
		onWorker := u.stepOnWorker[stepOnWorker{stepKeyOf(t.id), id}]
		if w.reg.Capacity.Sub(u.usedOn(w)).Fits(t.charge) && (t.maxPerWorker == 0 || onWorker < t.maxPerWorker) {
			return true
		}
	}
	return false
}

// stepOnWorker identifies the tasks of a step on one worker.
type stepOnWorker struct {
	step   stepKey
	worker string
}

func stepKeyOf(id workload.TaskID) stepKey { return stepKey{id.Job, id.Occurrence, id.Step} }
