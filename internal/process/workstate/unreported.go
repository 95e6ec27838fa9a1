package workstate

import (
	"slices"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// maxUnreportedRuns bounds the unreported runs that are remembered of a task.
const maxUnreportedRuns = 8

// AwaitsReport reports whether the success or failure of a run still counts
// although the run was ended before its worker reported it.
func (t *Task) AwaitsReport(run int) bool {
	return slices.Contains(t.UnreportedRuns, run)
}

// rememberUnreported remembers the run that an end is about if its worker has not
// reported how it ended. The tasks of a gang end together, and those that are
// long-running never succeed.
func (t *Task) rememberUnreported(step *workload.Step, e *End) {
	if !e.Unreported || step.Gang || step.LongRunning {
		return
	}
	t.UnreportedRuns = append(t.UnreportedRuns, e.Run)
	if len(t.UnreportedRuns) > maxUnreportedRuns {
		t.UnreportedRuns = slices.Delete(t.UnreportedRuns, 0, 1)
	}
}

// applyLateEnd records the success or failure of a run that was ended before its
// worker reported it. A later run of the task may be executing.
func (m *Machine) applyLateEnd(job *Job, task *Task, e *End) {
	step := &job.Spec.Steps[e.Task.Step]
	lateGang := step.Gang && task.Phase == Waiting && task.Run == e.Run && e.Kind == EndDone
	if !task.AwaitsReport(e.Run) && !lateGang {
		return
	}
	task.UnreportedRuns = slices.DeleteFunc(task.UnreportedRuns, func(run int) bool { return run == e.Run })
	switch {
	case e.Kind == EndFailed:
		m.countFailure(job, step, task)
	case e.Kind == EndDone && task.Phase == Running:
		task.Succeeded, task.UnreportedRuns = true, nil
	case e.Kind == EndDone:
		m.completeTask(job, e.Task, task)
	}
	m.deactivateEnded(job)
}
