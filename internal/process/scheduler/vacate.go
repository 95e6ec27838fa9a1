package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// vacateAge is how long a run executes before it may be sent elsewhere: a
// task must not be moved again and again.
const vacateAge = time.Second

// vacate empties VMs that other pools need: they take no new tasks, and the
// tasks there that have checkpoints go on elsewhere.
func (l *loop) vacate(vms []string, u *usage, now time.Time) {
	for _, vm := range vms {
		l.vacating[vm] = true
	}
	if len(vms) == 0 {
		return
	}
	for _, w := range l.workers {
		if l.vacating[w.reg.VM] {
			l.evacuate(u, w, now)
		}
	}
	for _, t := range u.movable {
		w := l.workers[t.worker]
		r := l.runs[t.id]
		if w == nil || !l.vacating[w.reg.VM] || r == nil || r.phase != runOrdered || r.calling || now.Sub(r.since) < vacateAge {
			continue
		}
		l.Log.Info("task leaves a VM that another pool needs", "task", t.id.String(), "run", r.number, "worker", t.worker, "vm", w.reg.VM)
		l.stop(t.id, r, now)
	}
}

// movableTask is a task that can resume on another worker.
type movableTask struct {
	id     workload.TaskID
	worker string
}

// canRehome says whether each long-running task of a worker finds room on
// another worker of the pool.
func (l *loop) canRehome(u *usage, from *worker, now time.Time) bool {
	for i := range u.lastingTasks {
		t := &u.lastingTasks[i]
		if t.worker == from.reg.ID && !l.hasRoomElsewhere(u, t, from, now) {
			return false
		}
	}
	return true
}

func (l *loop) hasRoomElsewhere(u *usage, t *lastingTask, from *worker, now time.Time) bool {
	for id, w := range l.workers {
		if w == from || w.reg.Service != from.reg.Service || !w.usable(now) || l.upkeep.due[w.reg.VM] || l.ordered(w.reg.VM) {
			continue
		}
		onWorker := u.stepOnWorker[stepOnWorker{stepKeyOf(t.id), id}]
		if w.reg.Capacity.Sub(u.taken[id]).Fits(t.charge) && (t.maxPerWorker == 0 || onWorker < t.maxPerWorker) {
			return true
		}
	}
	return false
}

// stepOnWorker names the tasks of a step on one worker.
type stepOnWorker struct {
	step   stepKey
	worker string
}

func stepKeyOf(id workload.TaskID) stepKey { return stepKey{id.Job, id.Occurrence, id.Step} }
