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
