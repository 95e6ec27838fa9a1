package scheduler

import (
	"fmt"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/process/scheduler/progresslog"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// settleTime is the time after its start within which a run that crashes its
// worker by starting does so.
const settleTime = 300 * time.Millisecond

// promptCrashTime is the time after its start within which a run that crashes its
// worker by starting usually does so. A worker that was up for longer has probably
// ended by another cause.
const promptCrashTime = 100 * time.Millisecond

// startCrashTime is the time after its start within which the silence of a worker
// that a run has crashed by starting is noticed: settleTime and a failed watch.
const startCrashTime = settleTime + busyWatchWait + callTimeout

// settlingWatchWait is how long a worker delays a report while a suspect may be
// starting on it, so that it is soon known to have survived.
const settlingWatchWait = 100 * time.Millisecond

// watchWait returns how long a worker may delay a report without new ends.
func (l *loop) watchWait(w *worker) time.Duration {
	if w.settlingRound > 0 && w.settlingRound == l.roundNumber {
		return settlingWatchWait
	}
	return w.watchWait()
}

// settle marks the run as settled if the report that was looked at last shows
// that its worker has survived its start. One of a later incarnation does not: it may
// have executed a copy of the start just now.
func (r *run) settle() {
	if r.running && !r.lost && !r.orderedAt.IsZero() && !r.report.sentAt.Before(r.orderedAt.Add(settleTime)) {
		r.settled = true
	}
}

// recordAcceptance records the worker's clock in the answer that accepts the start
// order. One that is behind a known reading may be another incarnation's.
func (r *run) recordAcceptance(w *worker, clockMS int64) {
	if clockMS >= max(w.lease.Reading().MS, w.heartbeatClockMS, w.reportClockMS) {
		r.acceptedClockMS = clockMS
	}
}

// settleByClock marks the run as settled if its worker has sent a heartbeat or a
// report after it survived the start. The time at which that arrives shows nothing: it
// may have been held up. A report may have been requested long before it was sent.
func (r *run) settleByClock(w *worker, task *workstate.Task) {
	if r.acceptedClockMS == 0 || w == nil || w.reg.Incarnation != task.Incarnation {
		return
	}
	survived := time.Duration(max(w.heartbeatClockMS, w.reportClockMS)-r.acceptedClockMS) * time.Millisecond
	r.outlived = survived >= promptCrashTime
	r.settled = r.settled || survived >= settleTime
}

// recordSurvival notes for the next commit that the run of a suspect has survived its
// start: a later leader can't know, and would suspect the run if its worker is lost.
func (l *loop) recordSurvival(id workload.TaskID, task *workstate.Task, r *run) {
	if r.settled && task.Crashes > 0 && !task.Survived {
		l.survivals = append(l.survivals, workstate.Survival{Task: id, Run: r.number})
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

// crash is the loss of an incarnation of a worker with its runs.
type crash struct {
	workerIncarnation
	// alone is set if it is certain that no run of another job has caused it, and
	// that those that may have were starting: the worker had accepted their orders
	// from this leader.
	alone bool
}

// lostRuns are the runs that were lost with an incarnation of a worker.
type lostRuns struct {
	// suspects are the runs that may have crashed the worker.
	suspects []*run
	// names holds each suspect as TASK#RUN, with the crashes under its task in
	// parentheses.
	names []string
	// job is the job of the first suspect. mixed is set if not all suspects are
	// of this job, or if it is not certain that the suspects were starting.
	job   string
	mixed bool
	// settled counts the other runs.
	settled int
}

// findCrashes looks for runs whose worker was replaced or has restarted, and
// blames those that may have crashed it. It is called before the table of workers
// is updated.
func (l *loop) findCrashes(v *workstate.View, now time.Time) {
	if !hasLostRuns(v) {
		return
	}
	crashes := map[workerIncarnation]*lostRuns{}
	for _, job := range v.Active() {
		job.EachExecuting(func(id workload.TaskID, task *workstate.Task) {
			if l.isLost(v, id, task) {
				l.addLostRun(crashes, id, task, now)
			}
		})
	}
	for ended, lost := range crashes {
		c := &crash{workerIncarnation: ended, alone: !lost.mixed}
		for _, r := range lost.suspects {
			r.blame = c
		}
		l.logCrash(v, c, lost)
	}
}

// hasLostRuns reports whether a run is recorded on a worker that has crashed.
func hasLostRuns(v *workstate.View) bool {
	found := false
	v.EachBusyWorker(func(id string, incarnation int64) bool {
		found = hasCrashed(v, id, incarnation)
		return !found
	})
	return found
}

// hasCrashed reports whether an incarnation of a worker has ended by a crash.
func hasCrashed(v *workstate.View, id string, incarnation int64) bool {
	reg := v.Workers()[id]
	return reg == nil || (incarnation != reg.Incarnation && incarnation != reg.EndsByOrder)
}

// isLost reports whether the worker of a recorded run has crashed.
func (l *loop) isLost(v *workstate.View, id workload.TaskID, task *workstate.Task) bool {
	return hasCrashed(v, task.Worker, task.Incarnation) && !l.endQueued(runKey{id, task.Run})
}

// addLostRun adds a run to those that were lost with its worker.
func (l *loop) addLostRun(crashes map[workerIncarnation]*lostRuns, id workload.TaskID, task *workstate.Task, now time.Time) {
	r := l.runOf(l.runs.Job(id.Job), id, task, now)
	if r.lost {
		return
	}
	r.lost = true
	r.settleByClock(l.workers[task.Worker], task)
	ended := workerIncarnation{task.Worker, task.Incarnation}
	lost := crashes[ended]
	if lost == nil {
		lost = &lostRuns{}
		crashes[ended] = lost
	}
	lost.add(id, task, r, l.crashedBy(task.Worker, now))
}

// crashedBy returns when an incarnation that was lost was first found silent.
func (l *loop) crashedBy(worker string, now time.Time) time.Time {
	if w := l.workers[worker]; w != nil && w.unresponsive {
		return w.failedAt
	}
	return now
}

// add adds a run whose worker was found silent at the given time.
func (s *lostRuns) add(id workload.TaskID, task *workstate.Task, r *run, silentAt time.Time) {
	if !r.mayCrashWorker() {
		s.settled++
		return
	}
	if len(s.suspects) == 0 {
		s.job = id.Job
	}
	r.uncertain = !r.wasStarting(silentAt)
	s.mixed = s.mixed || s.job != id.Job || r.uncertain
	s.suspects = append(s.suspects, r)
	s.names = append(s.names, fmt.Sprintf("%s#%d(%d)", id, r.number, task.Crashes+1))
}

// wasStarting reports whether it is certain that the run had been ordered by this
// leader shortly before its worker was found silent, which is not known to have been
// up for longer than a run takes to crash it.
func (r *run) wasStarting(silentAt time.Time) bool {
	return !r.inherited && !r.outlived && !r.orderedAt.IsZero() && silentAt.Sub(r.orderedAt) <= startCrashTime
}

// mayCrashWorker reports whether the run may be starting. A run whose order this
// leader has recorded but not sent is not.
func (r *run) mayCrashWorker() bool { return !r.settled && (r.sent || r.inherited) }

// suspectUnheard blames the run for the silence of its worker if it may have been
// starting when the silence began. The worker may have crashed or be cut off, so
// that this is a weaker suspicion than a crash with no other suspects.
func (r *run) suspectUnheard(silentAt time.Time) {
	if r.mayCrashWorker() {
		r.uncertain = !r.wasStarting(silentAt)
		r.blame = &crash{workerIncarnation: workerIncarnation{id: r.worker}}
	}
}

// judge completes the end of the run with what is known of its start. A run that
// its worker reports as failed has not crashed it.
func (r *run) judge(end *workstate.End) {
	end.Survived = r.settled || end.Kind == workstate.EndFailed
	if end.Kind == workstate.EndInterrupted && r.blame != nil {
		end.Kind, end.Alone, end.Uncertain = workstate.EndCrashed, r.blame.alone, r.uncertain
	}
}

// logCrash logs that a worker was replaced or restarted while it had runs.
func (l *loop) logCrash(v *workstate.View, c *crash, lost *lostRuns) {
	workerCrashes.Inc()
	attrs := []any{"worker", c.id, "incarnation", c.incarnation}
	if successor := l.successor(v, c.id); successor != nil {
		attrs = append(attrs, "vm", successor.VM, "successor", successor.ID, "successor_incarnation", successor.Incarnation)
	}
	slices.Sort(lost.names)
	l.Log.Warn("worker crashed with runs", append(attrs, "suspects", lost.names[:min(len(lost.names), progresslog.MaxRunsPerLine)],
		"suspect_count", len(lost.names), "alone", c.alone, "settled_count", lost.settled)...)
}

// successor returns the worker that has replaced a worker, or its later
// incarnation. It is nil if this leader did not know the former one.
func (l *loop) successor(v *workstate.View, id string) *workstate.Worker {
	if reg := v.Workers()[id]; reg != nil {
		return reg
	}
	if former := l.workers[id]; former != nil {
		return successorOf(v, &former.reg)
	}
	return nil
}

// logGivenUp logs the jobs that have failed with committed ends because of the
// crashes under a task.
func (l *loop) logGivenUp(v *workstate.View, ends []workstate.End) {
	logged := map[string]bool{}
	for i := range ends {
		e := &ends[i]
		job := v.Job(e.Task.Job)
		if e.Kind != workstate.EndCrashed || job == nil || job.Outcome != workstate.Failed || logged[job.ID] {
			continue
		}
		task := job.Task(e.Task)
		if task == nil || !task.GivenUp(&job.Spec.Steps[e.Task.Step], e.Alone) {
			continue
		}
		logged[job.ID] = true
		jobsGivenUp.Inc()
		attrs := []any{"job", job.ID, "task", e.Task.String(), "run", e.Run, "crashes", task.Crashes, "crashes_alone", task.CrashesAlone,
			"crashes_uncertain", task.CrashesUncertain, "alone", e.Alone}
		if r := l.runs.Get(e.Task); r != nil && r.blame != nil {
			attrs = append(attrs, "worker", r.blame.id, "incarnation", r.blame.incarnation)
		}
		l.Log.Warn("job given up, its task crashes workers", attrs...)
	}
}
