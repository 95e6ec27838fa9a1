package scheduler

import (
	"fmt"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
)

// settleTime is the time after its start within which a run that crashes its
// worker by starting does so.
const settleTime = 300 * time.Millisecond

// settle marks the run as settled if the report that was looked at last shows
// that its worker has survived its start.
func (r *run) settle() {
	if r.running && !r.orderedAt.IsZero() && !r.report.sentAt.Before(r.orderedAt.Add(settleTime)) {
		r.settled = true
	}
}

// successorOf returns the registered worker that has replaced a worker on its VM
// in the same service, or nil.
func successorOf(v *workstate.View, former *workstate.Worker) *workstate.Worker {
	for _, reg := range v.Workers() {
		if former.VM != "" && reg.VM == former.VM && reg.Service == former.Service {
			return reg
		}
	}
	return nil
}

// logCrash logs that a worker was replaced or restarted while it had runs.
func (l *loop) logCrash(w *worker, successor *workstate.Worker) {
	var unsettled []string
	settled := 0
	for id, r := range l.runs {
		switch {
		case r.worker != w.reg.ID:
		case r.settled:
			settled++
		default:
			unsettled = append(unsettled, fmt.Sprintf("%s#%d", id, r.number))
		}
	}
	if len(unsettled)+settled == 0 {
		return
	}
	workerCrashes.Inc()
	slices.Sort(unsettled)
	l.Log.Warn("worker crashed with runs", "worker", w.reg.ID, "incarnation", w.reg.Incarnation, "vm", w.reg.VM,
		"successor", successor.ID, "successor_incarnation", successor.Incarnation,
		"unsettled", unsettled[:min(len(unsettled), maxRunsPerLine)], "unsettled_count", len(unsettled), "settled_count", settled)
}
