package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const (
	// overheadWeight is the weight of the newest run in the overhead of a queue's
	// steps, which is an exponential moving average.
	overheadWeight = 0.02
	// maxOverhead bounds what one run counts for: a slow worker is not the rule.
	maxOverhead = 2 * time.Second
)

// stepOverheads holds, by queue, how much longer a task takes from the plan of its
// start to the commit of its end than it executes on its worker.
type stepOverheads map[string]time.Duration

// add takes one run into account.
func (o stepOverheads) add(queue string, overhead time.Duration) {
	overhead = min(max(overhead, 0), maxOverhead)
	o[queue] += time.Duration(overheadWeight * float64(overhead-o[queue]))
}

// recordOverhead learns from a run that a worker reports as done how long its step takes
// beside its work. The worker's clock tells how long it has executed.
func (l *loop) recordOverhead(job *workstate.Job, w *worker, key runKey, now time.Time) {
	r := l.runs.get(key.task)
	step := &job.Spec.Steps[key.task.Step]
	if r == nil || r.number != key.run || r.plannedAt.IsZero() || r.acceptedClockMS == 0 || step.LongRunning || step.Gang {
		return
	}
	executed := time.Duration(w.reportClockMS-r.acceptedClockMS) * time.Millisecond
	if key.run == 1 {
		l.admission.learnDuration(job.Queue, step, executed)
	}
	l.demand.overheads.add(job.Queue, now.Sub(r.plannedAt)+l.lastCommit-executed)
}

// startToEnd returns how long a step is expected to take from the plan of its starts to
// the commit of its ends.
func (l *loop) startToEnd(queue string, step *workload.Step) time.Duration {
	return step.Estimate + l.demand.overheads[queue]
}
