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
	var room relocationRoom
	for _, w := range l.workerList {
		if !w.reg.Draining || w.unresponsive || len(u.load(w).longRunning) == 0 {
			continue
		}
		if room == nil {
			room = l.relocationRoom(u, now)
		}
		if room.canRelocate(u, w) {
			l.evacuate(u, w, now)
		}
	}
}

// resumableTask is a task that can resume from a checkpoint on another worker.
type resumableTask struct {
	id     workload.TaskID
	worker string
}

// stepOnWorker identifies the tasks of a step on one worker.
type stepOnWorker struct {
	step   stepKey
	worker string
}

func stepKeyOf(id workload.TaskID) stepKey { return stepKey{id.Job, id.Occurrence, id.Step} }
