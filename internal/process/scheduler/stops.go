package scheduler

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// sendStop orders a worker to end a run, or never to start it.
func (l *loop) sendStop(id workload.TaskID, r *run, now time.Time) {
	w := l.workers[r.worker]
	if w == nil || r.calling {
		return
	}
	r.enter(runStopping, now)
	r.calling = true
	address, token := w.address(), uint64(w.token)
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		answer, err := l.Workers.Stop(ctx, address, id, r.number, token)
		l.post(func(l *loop) { l.handleStopAnswer(id, r, w, answer, err) })
	}()
}

func (l *loop) handleStopAnswer(id workload.TaskID, r *run, w *worker, answer execution.Answer, err error) {
	now := time.Now()
	r.calling = false
	l.dirty = true
	l.recordRefusal(w, "stop", answer.Refusal)
	if l.runs[id] != r {
		return
	}
	switch {
	case err != nil:
		lostOrders.Inc()
		l.Log.Warn("stop order unanswered", "task", id.String(), "run", r.number, "worker", r.worker, "error", err.Error())
		r.enter(runStopping, now)
	case answer.Refusal == execution.Accepted || answer.Refusal == execution.RefusedStaleRun:
		r.enter(runStopped, now)
	case answer.Refusal == execution.RefusedOtherWorker:
		l.queueEnd(id, r.number, workstate.EndInterrupted, "")
	default:
		l.Log.Warn("stop order refused", "task", id.String(), "run", r.number, "worker", r.worker, "reason", answer.Refusal)
		r.enter(runStopping, now)
	}
}

// stopOrphan stops a run that a worker reports but that is not recorded as the
// task's newest run.
func (l *loop) stopOrphan(w *worker, key runKey, now time.Time) {
	if last, known := l.orphans[key]; known && now.Sub(last) < callTimeout {
		return
	}
	l.orphans[key] = now
	l.Log.Info("stopping unrecorded run", "task", key.task.String(), "run", key.run, "worker", w.reg.ID)
	address, token := w.address(), uint64(w.token)
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		answer, err := l.Workers.Stop(ctx, address, key.task, key.run, token)
		if err != nil {
			l.Log.Warn("stop order unanswered", "task", key.task.String(), "run", key.run, "worker", address.ID, "error", err.Error())
		}
		l.post(func(l *loop) { l.recordRefusal(w, "stop", answer.Refusal) })
	}()
}
