package workstate

import (
	"slices"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// maxUnreportedRuns bounds the unreported runs that are remembered of a task.
const maxUnreportedRuns = 8

// CountsLate reports whether an end still counts although the run was ended before.
// That is so for the success or failure of a run that its worker had not reported,
// and for the success of a gang, which one of its tasks reports for all, until its
// next run.
func (t *Task) CountsLate(step *workload.Step, run int, kind EndKind) bool {
	switch {
	case t.Phase == Done || step.LongRunning:
		return false
	case step.Gang:
		return kind == EndDone && t.Phase == Waiting && t.Run == run
	case kind == EndDone || kind == EndFailed:
		return slices.Contains(t.UnreportedRuns, run)
	}
	return false
}

// rememberUnreported remembers the run that an end is about if its worker has not
// reported how it ended.
func (t *Task) rememberUnreported(step *workload.Step, e *End) {
	if !e.Unreported || t.Phase == Done || step.Gang || step.LongRunning {
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
	if !task.CountsLate(step, e.Run, e.Kind) {
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
