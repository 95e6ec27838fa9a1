package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workerlease"
)

// stopOrphans stops runs that workers execute without a record in the state. A
// worker that is not in touch gets no lease either, so that its runs end with the
// one it has unless its next report comes first. The runs of a worker that obeys a
// newer leader are left to that leader.
func (l *loop) stopOrphans(u *usage, now time.Time) {
	for _, w := range l.workerList {
		if w.report == nil || !w.inTouch() || u.load(w).listed == len(w.report.running) {
			continue
		}
		for key := range w.report.running {
			if !l.isRecorded(key) && !l.endQueued(key) {
				l.stopOrphan(w, key, now)
			}
		}
	}
	for key, at := range l.orphans {
		if now.Sub(at) > workerlease.Duration {
			delete(l.orphans, key)
		}
	}
}

// stopOrphan stops a run that a worker reports but that is not recorded as the
// task's newest run.
func (l *loop) stopOrphan(w *worker, key runKey, now time.Time) {
	if last, known := l.orphans[key]; known && now.Sub(last) < callTimeout || !l.mayOrder(w) {
		return
	}
	l.orphans[key] = now
	l.Log.Info("stopping unrecorded run", "task", key.task.String(), "run", key.run, "worker", w.reg.ID, "incarnation", w.reg.Incarnation)
	id := w.reg.ID
	l.stopInBackground(w, key, func(l *loop, answer execution.Answer, err error) {
		if err != nil {
			l.Log.Warn("stop order unanswered", "task", key.task.String(), "run", key.run, "worker", id, "error", err.Error())
		}
		l.recordRefusal(w, "stop", answer.Refusal)
	})
}
