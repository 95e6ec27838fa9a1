package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// queueReportedEnds queues the ends that workers report and that are not
// committed. It acknowledges those before the first that still has to be recorded.
func (l *loop) queueReportedEnds(v *workstate.View, now time.Time) {
	for _, w := range l.workerList {
		if w.report == nil || w.reportedEnd <= w.ackedEnd {
			continue
		}
		acknowledged := w.reportedEnd
		for key, ended := range w.report.ended {
			if ended.Number > w.ackedEnd && !l.recordEnd(v, w, key, ended, now) {
				acknowledged = min(acknowledged, ended.Number-1)
			}
		}
		w.ackedEnd = max(w.ackedEnd, acknowledged)
	}
}

// recordEnd queues an end that a worker reports, unless the state shows all that
// follows from it. It reports whether the state does.
func (l *loop) recordEnd(v *workstate.View, w *worker, key runKey, ended execution.EndedRun, now time.Time) bool {
	if l.endQueued(key) {
		return false
	}
	job := v.Job(key.task.Job)
	if job == nil {
		return true
	}
	task := job.Task(key.task)
	if task == nil {
		return true
	}
	kind := endKind(ended.Reason)
	if task.Phase == workstate.Running && task.Run == key.run && task.Worker == w.reg.ID {
		l.queueReportedEnd(job, w, key, kind, ended.Checkpoint, now)
		return false
	}
	if job.Outcome == workstate.Open && task.CountsLate(&job.Spec.Steps[key.task.Step], key.run, kind) {
		l.Log.Info("end of an interrupted run reported", "task", key.task.String(), "run", key.run, "worker", w.reg.ID, "reason", ended.Reason, "newest_run", task.Run)
		l.queueReportedEnd(job, w, key, kind, ended.Checkpoint, now)
		return false
	}
	return true
}

// endKind returns the way of ending that a worker's reason stands for.
func endKind(reason execution.EndReason) workstate.EndKind {
	switch reason {
	case execution.ReasonDone:
		return workstate.EndDone
	case execution.ReasonFailed:
		return workstate.EndFailed
	}
	return workstate.EndInterrupted
}

func (l *loop) queueReportedEnd(job *workstate.Job, w *worker, key runKey, kind workstate.EndKind, checkpoint string, now time.Time) {
	l.updateHistory(w, key.task.Job, kind, now)
	if kind == workstate.EndDone {
		l.learnDuration(job, w, key, now)
	}
	l.queueEnd(key.task, key.run, kind, checkpoint)
	step := &job.Spec.Steps[key.task.Step]
	if step.Gang && kind == workstate.EndDone {
		l.endGang(job, key)
	}
}

// endGang queues the ends of all tasks of a gang when one of them is done,
// since they are done together. They replace interruptions, also of tasks whose
// worker was lost before it reported the end.
func (l *loop) endGang(job *workstate.Job, key runKey) {
	tasks := job.Occurrences[key.task.Occurrence].Steps[key.task.Step].Tasks
	for i := range tasks {
		if tasks[i].Run != key.run || tasks[i].Phase == workstate.Done {
			continue
		}
		member := key.task
		member.Index = i
		l.setEnd(runKey{member, key.run}, workstate.End{Task: member, Run: key.run, Kind: workstate.EndDone})
	}
}
