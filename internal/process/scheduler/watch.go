package scheduler

import (
	"context"
	"errors"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/pacing"
)

// syncWorkers makes the table of workers match the registered ones.
func (l *loop) syncWorkers(v *workstate.View) {
	for id, reg := range v.Workers() {
		w := l.workers[id]
		if w == nil || w.reg.Incarnation != reg.Incarnation || w.reg.Address != reg.Address {
			// A new life knows nothing of the former one.
			l.workers[id] = &worker{reg: *reg, speed: pacing.Full, knownSince: time.Now()}
			continue
		}
		w.reg = *reg
	}
	for id, w := range l.workers {
		if v.Workers()[id] == nil {
			delete(l.workers, id)
			l.Workers.Forget(w.reg.Address)
		}
	}
}

// watchWorkers asks each worker for its runs, one question at a time. A
// worker that has listed ends is asked again once these are committed.
func (l *loop) watchWorkers(now time.Time) {
	for id, w := range l.workers {
		if !w.forgotten && w.gone(now, l.Limits.LongestLease) {
			w.forgotten = true
			l.Log.Warn("worker is gone", "worker", id, "born", w.reg.Incarnation, "answered_ms_ago", now.Sub(w.answeredAt).Milliseconds())
			l.deregister(workerLife{id, w.reg.Incarnation})
		}
		if w.watching || now.Before(w.nextWatch) || w.listed > w.acked {
			continue
		}
		l.watch(w, now)
	}
}

func (l *loop) watch(w *worker, now time.Time) {
	question := execution.Watch{FencingToken: l.term}
	// The first answer is wanted at once. A worker that is silent may still
	// hear: its lease must end. Or it has begun a new life, whose ends must
	// not be forgotten.
	if w.contact && !w.silent {
		question.LeaseUntilMS = w.grant(now)
		question.AckedEnd = w.acked
		question.WaitMS = int(watchWait.Milliseconds())
	}
	w.watching = true
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, time.Duration(question.WaitMS)*time.Millisecond+callTimeout)
		defer cancel()
		report, err := l.Workers.Watch(ctx, w.address(), question)
		l.post(func(l *loop) { l.reported(w, now, report, err) })
	}()
}

// reported takes the answer of a watch.
func (l *loop) reported(w *worker, sentAt time.Time, report execution.Report, err error) {
	now := time.Now()
	w.watching = false
	if l.workers[w.reg.ID] != w {
		return
	}
	l.dirty = true
	if err != nil || report.Refusal != execution.Accepted {
		l.unanswered(w, now, report.Refusal, err)
		return
	}
	if w.silent || !w.contact {
		l.Log.Info("worker answers", "worker", w.reg.ID, "born", w.reg.Incarnation, "running", len(report.Running), "ended", len(report.Ended))
	}
	w.silent = false
	w.answeredAt = now
	if report.Incarnation > w.reg.Incarnation {
		l.reborn(w, report.Incarnation)
		return
	}
	w.noteClock(report.ClockMS, now)
	if !w.contact {
		w.contact = true
		w.leaseMS = max(w.leaseMS, w.firstLease(l.Limits.LongestLease))
	}
	w.report = newReportView(sentAt, &report)
	w.listed = max(w.listed, newestEnd(&report))
}

// unanswered notes a call that failed. The worker keeps what runs on it
// until its lease ends.
func (l *loop) unanswered(w *worker, now time.Time, refusal execution.Refusal, err error) {
	w.nextWatch = now.Add(watchRetry)
	if !w.silent {
		l.Log.Warn("worker does not answer", "worker", w.reg.ID, "refusal", refusal, "error", errorText(err),
			"answered_ms_ago", now.Sub(w.answeredAt).Milliseconds(), "lease_ms", w.leaseMS-w.clockMS)
	}
	w.silent = true
	if refusal == execution.RefusedFencingToken {
		l.Log.Error("a newer leader has called the worker", "worker", w.reg.ID, "term", l.term)
	}
}

// reborn records that a worker has begun a new life under its id.
func (l *loop) reborn(w *worker, born int64) {
	reg := w.reg
	reg.Incarnation = born
	w.nextWatch = time.Now().Add(watchRetry)
	l.Log.Info("worker was reborn", "worker", reg.ID, "from", w.reg.Incarnation, "to", born)
	go func() {
		_, err := propose(l.ctx, l.Replica, &workstate.Command{Register: &reg}, l.Now())
		if err != nil && !errors.Is(err, context.Canceled) {
			l.Log.Warn("worker's new life not recorded", "worker", reg.ID, "error", err.Error())
		}
		l.post(func(l *loop) { l.dirty = true })
	}()
}

// heartbeat notes that a worker was heard.
func (l *loop) heartbeat(id string, now time.Time) {
	l.dirty = true
	if w := l.workers[id]; w != nil {
		w.heardAt = now
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
