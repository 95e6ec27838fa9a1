package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// usage is what executes, gathered from the state in one pass.
type usage struct {
	// taken is the capacity in use on each worker; runs counts its tasks,
	// lastingRuns those that are long-running.
	taken             map[string]workload.Resources
	runs, lastingRuns map[string]int
	// workerOn holds the worker of each VM, pressure the share of each
	// pool's capacity that is in use.
	workerOn map[string]*worker
	pressure map[string]float64
	// lastingTasks are the long-running tasks; unavailable counts those of
	// each step that are not at work.
	lastingTasks []lastingTask
	// sharing is what fillers and serving tasks share, by worker.
	sharing map[string]*sharing
	// stragglers are the runs whose progress is shown.
	stragglers []straggler
	// movable are the tasks that can resume on another worker.
	movable     []movableTask
	unavailable map[stepKey]int
	// stepOnWorker counts the long-running tasks of a step on a worker.
	stepOnWorker map[stepOnWorker]int
}

// newUsage returns an empty one for about so many workers.
func newUsage(workers int) *usage {
	return &usage{
		taken: make(map[string]workload.Resources, workers),
		runs:  make(map[string]int, workers), lastingRuns: map[string]int{},
		unavailable: map[stepKey]int{}, stepOnWorker: map[stepOnWorker]int{}, sharing: map[string]*sharing{},
	}
}

// takeEnds queues the ends that workers list and that are not committed.
func (l *loop) takeEnds(v *workstate.View, now time.Time) {
	for _, w := range l.workers {
		if w.report == nil {
			continue
		}
		for key, ended := range w.report.ended {
			if ended.Number > w.acked {
				l.takeEnd(v, w, key, ended, now)
			}
			w.seen = max(w.seen, ended.Number)
		}
	}
}

func (l *loop) takeEnd(v *workstate.View, w *worker, key runKey, ended execution.EndedRun, now time.Time) {
	job := v.Job(key.task.Job)
	if job == nil {
		return
	}
	task := job.Task(key.task)
	if task == nil || task.Phase != workstate.Running || task.Run != key.run || task.Worker != w.reg.ID {
		return
	}
	if l.ending(key) {
		return
	}
	kind := workstate.EndInterrupted
	switch ended.Reason {
	case execution.ReasonDone:
		kind = workstate.EndDone
	case execution.ReasonFailed:
		kind = workstate.EndFailed
	}
	l.noteEnd(w, key.task.Job, kind, now)
	l.end(key.task, key.run, kind, ended.Checkpoint)
	step := &job.Spec.Steps[key.task.Step]
	if step.Gang && kind == workstate.EndDone {
		l.endGang(job, key)
	}
}

// endGang ends all members of a gang: they are done together.
func (l *loop) endGang(job *workstate.Job, key runKey) {
	job.EachExecuting(func(id workload.TaskID, task *workstate.Task) {
		if id.Step == key.task.Step && id.Occurrence == key.task.Occurrence && task.Run == key.run {
			l.end(id, task.Run, workstate.EndDone, "")
		}
	})
}

// reconcile compares each recorded run with what its worker reports, and
// repeats, stops or ends what does not agree.
func (l *loop) reconcile(v *workstate.View, now time.Time) *usage {
	u := newUsage(len(l.workers))
	l.roundNumber++
	for _, job := range v.Active() {
		u.noteWaiting(job)
		job.EachExecuting(func(id workload.TaskID, task *workstate.Task) {
			step := &job.Spec.Steps[id.Step]
			key := runKey{id, task.Run}
			r := l.runOf(id, task, now)
			if !l.ending(key) {
				l.reconcileRun(v, job, id, task, r, now)
			}
			if l.ending(key) {
				u.noteEnding(id, step)
				return
			}
			u.runs[task.Worker]++
			u.taken[task.Worker] = u.taken[task.Worker].Add(step.Charge())
			l.noteProgress(u, id, task, step, r, now)
			u.noteSharing(id, task, step, l.workers[task.Worker])
			if step.Checkpointing && !step.LongRunning && !step.Gang {
				u.movable = append(u.movable, movableTask{id: id, worker: task.Worker})
			}
			if step.LongRunning {
				u.noteLasting(id, task, step, l.atWork(id, task, r))
			}
		})
	}
	l.notePools(u)
	l.dropEndedRuns()
	l.stopOrphans(now)
	return u
}

// notePools gathers the workers by VM and the load of their pools.
func (l *loop) notePools(u *usage) {
	u.workerOn = make(map[string]*worker, len(l.workers))
	u.pressure = map[string]float64{}
	sizes := map[string]float64{}
	for id, w := range l.workers {
		u.workerOn[w.reg.VM] = w
		u.pressure[w.reg.Service] += float64(l.load(u.taken[id]))
		sizes[w.reg.Service]++
	}
	for pool, size := range sizes {
		u.pressure[pool] /= size
	}
}

// ending says whether the end of a run waits for a commit.
func (l *loop) ending(key runKey) bool {
	_, ending := l.ends[key]
	return ending
}

// noteWaiting counts the long-running tasks that wait as unavailable.
func (u *usage) noteWaiting(job *workstate.Job) {
	for k := range job.Occurrences {
		for s := range job.Occurrences[k].Steps {
			if !job.Spec.Steps[s].LongRunning {
				continue
			}
			for i := range job.Occurrences[k].Steps[s].Tasks {
				if job.Occurrences[k].Steps[s].Tasks[i].Phase == workstate.Waiting {
					u.unavailable[stepKey{job.ID, k, s}]++
				}
			}
		}
	}
}

// runOf returns what is known of a recorded run, and notes that this round
// has seen it.
func (l *loop) runOf(id workload.TaskID, task *workstate.Task, now time.Time) *run {
	r := l.runs[id]
	if r == nil || r.number != task.Run {
		r = &run{number: task.Run, worker: task.Worker, doubt: true, since: now, pace: paceUnknown}
		l.runs[id] = r
	}
	r.seenIn = l.roundNumber
	return r
}

// reconcileRun takes one recorded run a step further.
func (l *loop) reconcileRun(v *workstate.View, job *workstate.Job, id workload.TaskID, task *workstate.Task, r *run, now time.Time) {
	w := l.workers[task.Worker]
	if w == nil {
		// The worker was forgotten while its end was on its way here.
		l.end(id, task.Run, workstate.EndInterrupted, "")
		return
	}
	if w.silent && w.lapsed(now, l.Limits.LongestLease) {
		l.Log.Info("run lapsed with its worker's lease", "task", id.String(), "run", task.Run, "worker", task.Worker)
		l.end(id, task.Run, workstate.EndInterrupted, w.lastCheckpoint(runKey{id, task.Run}))
		return
	}
	unwanted := job.Outcome != workstate.Open || task.Incarnation != w.reg.Incarnation
	if unwanted && r.phase != runStopping && r.phase != runStopped {
		// Due at once.
		r.enter(runStopping, time.Time{})
	}
	if !w.contact || r.calling {
		return
	}
	l.stepRun(v, id, r, w, now)
}

// stepRun repeats what got no answer and draws from the newest report.
func (l *loop) stepRun(v *workstate.View, id workload.TaskID, r *run, w *worker, now time.Time) {
	shown, fresh := w.shows(runKey{id, r.number}, r.since)
	switch r.phase {
	case runUnknown:
		if shown {
			r.enter(runOrdered, now)
		} else if w.report != nil {
			l.order(v, id, r, now)
		}
	case runUnsure:
		if shown && fresh {
			r.enter(runOrdered, now)
		} else if now.Sub(r.since) >= orderRetry && !w.silent {
			l.order(v, id, r, now)
		}
	case runOrdered:
		if fresh && !shown {
			l.Log.Info("run is missing from its worker's report", "task", id.String(), "run", r.number, "worker", r.worker)
			l.stop(id, r, now)
		}
	case runStopping:
		if now.Sub(r.since) >= orderRetry && !w.silent {
			l.stop(id, r, now)
		}
	case runStopped:
		_, late := w.shows(runKey{id, r.number}, r.since.Add(l.Limits.StopTimeout+reportSlack))
		if late && !shown {
			l.end(id, r.number, workstate.EndInterrupted, "")
		}
	}
}

// shows says whether the newest report lists a run as executing or ended,
// and whether the report was asked for after a time.
func (w *worker) shows(key runKey, after time.Time) (shown, fresh bool) {
	if w.report == nil {
		return false, false
	}
	_, running := w.report.running[key]
	_, ended := w.report.ended[key]
	return running || ended, w.report.sentAt.After(after)
}

// lastCheckpoint returns the checkpoint of a run that was reported last.
func (w *worker) lastCheckpoint(key runKey) string {
	if w.report == nil {
		return ""
	}
	return w.report.running[key].Checkpoint
}

// dropEndedRuns forgets the runs that the state no longer knows.
func (l *loop) dropEndedRuns() {
	for id, r := range l.runs {
		if r.seenIn != l.roundNumber {
			delete(l.runs, id)
		}
	}
}

// recorded says whether the state of this round knows a run as executing.
func (l *loop) recorded(key runKey) bool {
	r := l.runs[key.task]
	return r != nil && r.number == key.run && r.seenIn == l.roundNumber
}

// stopOrphans stops what workers execute without a record.
func (l *loop) stopOrphans(now time.Time) {
	for _, w := range l.workers {
		if w.report == nil {
			continue
		}
		for key := range w.report.running {
			if !l.recorded(key) && !l.ending(key) {
				l.stopOrphan(w, key, now)
			}
		}
	}
	for key, at := range l.orphans {
		if now.Sub(at) > leaseTime {
			delete(l.orphans, key)
		}
	}
}
