package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// learnDuration learns from a run that a worker reports as done how long its step takes,
// and how long beside its work. The worker's clock tells how long it has executed, but
// not if the run has ended on a later incarnation than the one that accepted it.
func (l *loop) learnDuration(job *workstate.Job, w *worker, key runKey, now time.Time) {
	r := l.runs.Get(key.task)
	step := &job.Spec.Steps[key.task.Step]
	if r == nil || r.number != key.run || r.plannedAt.IsZero() || r.acceptedClockMS == 0 || step.LongRunning || step.Gang {
		return
	}
	if task := job.Task(key.task); task == nil || task.Incarnation != w.reg.Incarnation {
		return
	}
	executed := time.Duration(w.reportClockMS-r.acceptedClockMS) * time.Millisecond
	l.demand.overheads.Add(job.Queue, now.Sub(r.plannedAt)+l.lastCommit-executed)
	if resumed := step.Checkpointing && key.run > 1; !resumed {
		l.demand.durations.Add(job.Queue, step.Estimate, executed)
	}
}

// predict returns how long a task of a step is expected to execute.
func (l *loop) predict(queue string, step *workload.Step) time.Duration {
	return l.demand.durations.Predict(queue, step.Estimate)
}
