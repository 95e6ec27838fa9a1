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
	if !l.mayOrder(w) {
		// The stop order stays due.
		r.enter(runStopping, time.Time{})
		return
	}
	r.enter(runStopping, now)
	r.calling = true
	l.stopInBackground(w, runKey{id, r.number}, func(l *loop, answer execution.Answer, err error) {
		l.handleStopAnswer(id, r, w, answer, err)
	})
}

// stopInBackground orders a worker to end a run and passes the outcome to a function of
// the loop.
func (l *loop) stopInBackground(w *worker, key runKey, then func(*loop, execution.Answer, error)) {
	address, token := w.address(), uint64(w.token)
	execution.InBackground(l.ctx, callTimeout, func(ctx context.Context) (execution.Answer, error) {
		return l.Workers.Stop(ctx, address, key.task, key.run, token)
	}, l.countOrder(w, then))
}

func (l *loop) handleStopAnswer(id workload.TaskID, r *run, w *worker, answer execution.Answer, err error) {
	now := time.Now()
	r.calling = false
	l.dirty = true
	l.recordRefusal(w, "stop", answer.Refusal)
	if l.runs.Get(id) != r {
		return
	}
	switch {
	case err != nil:
		lostOrders.Inc()
		l.Log.Warn("stop order unanswered", "task", id.String(), "run", r.number, "worker", r.worker, "error", err.Error())
		r.enter(runStopping, now)
	case w.removed && answer.Refusal != execution.RefusedOtherWorker:
		// The worker that has answered is registered no more, or at another address.
		r.enter(runStopping, time.Time{})
	case answer.Refusal == execution.Accepted || answer.Refusal == execution.RefusedStaleRun:
		r.enter(runStopped, now)
	case answer.Refusal == execution.RefusedOtherWorker:
		l.queueEnd(id, r.number, workstate.EndInterrupted, "")
	default:
		l.Log.Warn("stop order refused", "task", id.String(), "run", r.number, "worker", r.worker, "reason", answer.Refusal)
		r.enter(runStopping, now)
	}
}
