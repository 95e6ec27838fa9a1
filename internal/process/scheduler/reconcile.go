package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/scheduler/runtable"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// reconcile compares each recorded run with the report of its worker. It
// repeats, stops or ends runs whose recorded and reported states differ.
func (l *loop) reconcile(v *workstate.View, detail usageDetail, now time.Time) *usage {
	l.roundNumber++
	u := l.newUsage(detail)
	for _, job := range v.Active() {
		if detail == fleetDetails {
			u.countWaiting(v, job)
		}
		if job.Executing == 0 {
			continue
		}
		runs := l.runs.Job(job.ID)
		job.EachExecuting(func(id workload.TaskID, task *workstate.Task) {
			step := &job.Spec.Steps[id.Step]
			u.executing++
			r := l.runOf(runs, id, task, now)
			w := l.workerOf(r)
			if !r.ending {
				l.reconcileRun(v, job, id, task, r, w, now)
			}
			if !r.ending && w != nil {
				l.markSuspect(u, task, r, w)
				u.charge(w, step.Charge())
			}
			switch {
			case detail == capacityInUse:
			case r.ending:
				u.countEnding(id, step, v.ServiceOf(job))
			default:
				l.recordDetails(u, id, task, step, job.Queue, r, w, now)
			}
			if w != nil && !r.ending && r.running && r.report == w.report {
				u.load(w).listed++
			}
		})
	}
	if l.runs.Len() > u.executing {
		l.dropEndedRuns()
	}
	for _, w := range l.workerList {
		if w.report != nil && !w.enforcesCapacity {
			l.countUnrecorded(v, u, w)
		}
		w.overCapacity = !w.reg.Capacity.Fits(u.usedOn(w))
		w.heldStarts = 0
	}
	l.sendDueStarts(v, now)
	return u
}

// dueStart is a run whose start order is due.
type dueStart struct {
	id workload.TaskID
	r  *run
}

// sendDueStarts sends the start orders that are due. What each worker's runs take is
// known by then.
func (l *loop) sendDueStarts(v *workstate.View, now time.Time) {
	for _, due := range l.dueStarts {
		l.sendStart(v, due.id, due.r, now)
	}
	l.dueStarts = l.dueStarts[:0]
}

// endQueued reports whether the end of a run waits for a commit.
func (l *loop) endQueued(key runKey) bool {
	if len(l.ends) == 0 {
		return false
	}
	_, queued := l.ends[key]
	return queued
}

// runOf returns the leader's view of a recorded run and marks it as seen in
// this round.
func (l *loop) runOf(runs *runtable.Job[run], id workload.TaskID, task *workstate.Task, now time.Time) *run {
	r := runs.Get(id)
	if r == nil || r.number != task.Run {
		r = &run{number: task.Run, worker: task.Worker, unconfirmed: true, inherited: true, settled: task.Survived, since: now, speed: speedUnknown, ending: l.endQueued(runKey{id, task.Run})}
		runs.Set(id, r)
	}
	r.seenInRound = l.roundNumber
	return r
}

// workerOf returns the worker of a run, or nil if it is not registered any more. A stop
// order that an earlier incarnation accepted is due again: the start order may still
// arrive at the present one.
func (l *loop) workerOf(r *run) *worker {
	if r.on == nil || r.on.removed {
		if r.on != nil && r.phase == runStopped {
			r.enter(runStopping, time.Time{})
		}
		r.on = l.workers[r.worker]
	}
	return r.on
}

// reconcileRun checks one recorded run and sends the next order for it if one
// is due. The worker w is nil if it is not registered any more.
func (l *loop) reconcileRun(v *workstate.View, job *workstate.Job, id workload.TaskID, task *workstate.Task, r *run, w *worker, now time.Time) {
	if w == nil {
		// Another worker has replaced it on its VM, so its runs have ended with it.
		l.queueEnd(id, task.Run, workstate.EndInterrupted, "")
		return
	}
	r.settleByClock(w, task)
	l.recordSurvival(id, task, r)
	if w.left() {
		l.Log.Info("run ended with its worker, which has left", "task", id.String(), "run", task.Run, "worker", task.Worker)
		l.queueUnreportedEnd(id, task.Run, w)
		return
	}
	if w.unresponsive && w.lease.Expired(now, l.Limits.LongestLease) {
		l.logLeaseEnd(id, task, r, w, now)
		r.suspectUnheard(w.failedAt)
		l.queueUnreportedEnd(id, task.Run, w)
		return
	}
	unwanted := job.Outcome != workstate.Open || task.Succeeded || task.Incarnation != w.reg.Incarnation || w.reg.Leaving
	if unwanted && r.phase != runStopping && r.phase != runStopped {
		// The stop order is due at once.
		r.enter(runStopping, time.Time{})
	}
	if !w.mayGetOrders() || r.calling {
		return
	}
	l.advanceRun(v, id, r, w, now)
}

// advanceRun sends the next order for a run if one is due, for example again
// after a lost answer, or notes that its start is due. It updates the phase of the
// run from the newest report.
func (l *loop) advanceRun(v *workstate.View, id workload.TaskID, r *run, w *worker, now time.Time) {
	r.observe(w, runKey{id, r.number})
	reported, fresh := r.running || r.ended, r.reportedAfter(r.since)
	missing := !reported && r.report != nil && !r.report.moreEnds
	switch r.phase {
	case runUnknown:
		if reported {
			r.enter(runOrdered, now)
		} else if w.report != nil {
			l.dueStarts = append(l.dueStarts, dueStart{id, r})
		}
	case runRetrying:
		if reported && fresh {
			r.enter(runOrdered, now)
		} else if now.Sub(r.since) >= orderRetry && w.inTouch() {
			l.dueStarts = append(l.dueStarts, dueStart{id, r})
		}
	case runOrdered:
		if fresh && missing {
			l.Log.Info("run missing from the report of its worker", "task", id.String(), "run", r.number, "worker", r.worker)
			l.sendStop(id, r, now)
		}
	case runStopping:
		if now.Sub(r.since) >= orderRetry && w.inTouch() {
			l.sendStop(id, r, now)
		}
	case runStopped:
		late := r.reportedAfter(r.since.Add(l.Limits.StopTimeout + reportSlack))
		if late && missing {
			l.queueEnd(id, r.number, workstate.EndInterrupted, "")
		}
	}
}

// observe looks the run up in the newest report of its worker. It does nothing
// if that report was looked at before.
func (r *run) observe(w *worker, key runKey) {
	if r.report == w.report {
		return
	}
	r.report, r.running, r.ended = w.report, false, false
	if w.report == nil {
		return
	}
	r.row, r.running = w.report.running[key]
	_, r.ended = w.report.ended[key]
	r.settle()
	if r.running && r.acceptedClockMS == 0 {
		r.acceptedClockMS = w.report.clockMS
	}
}

// reportedAfter reports whether the newest report was requested after the given
// time.
func (r *run) reportedAfter(t time.Time) bool {
	return r.report != nil && r.report.sentAt.After(t)
}

// lastCheckpoint returns the last reported checkpoint of a run.
func (w *worker) lastCheckpoint(key runKey) string {
	if w.report == nil {
		return ""
	}
	return w.report.running[key].Checkpoint
}

// dropEndedRuns removes the runs that the state no longer has as executing.
func (l *loop) dropEndedRuns() {
	l.runs.RemoveIf(func(r *run) bool { return r.seenInRound != l.roundNumber })
}

// isRecorded reports whether the state of this round has the run as executing.
func (l *loop) isRecorded(key runKey) bool { return l.recordedRun(key) != nil }

// recordedRun returns the run if the state of this round has it as executing, or nil.
func (l *loop) recordedRun(key runKey) *run {
	r := l.runs.Get(key.task)
	if r == nil || r.number != key.run || r.seenInRound != l.roundNumber {
		return nil
	}
	return r
}
