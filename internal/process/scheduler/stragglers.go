package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/health"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const (
	// suspectPause is how long a worker that fails every task gets no new
	// tasks.
	suspectPause = 2 * time.Second
	// slowPause is how long a slow worker, or one with a stalled run, gets no
	// new tasks before it is judged again.
	slowPause = time.Second
	// restartCost is the time that a task loses when it is restarted on another
	// worker.
	restartCost = 300 * time.Millisecond
	// maxRestarts limits the runs of a task that are stopped as stragglers,
	// because the task itself may take long.
	maxRestarts = 2
)

// straggler is an executing run that is checked for being a straggler.
type straggler struct {
	id  workload.TaskID
	run int
}

// recordProgress records the reported progress of a run that ends by itself.
func (l *loop) recordProgress(u *usage, id workload.TaskID, task *workstate.Task, step *workload.Step, queue string, r *run, w *worker, now time.Time) {
	if step.LongRunning || step.Gang || w == nil || w.report == nil || r.phase != runOrdered {
		return
	}
	r.observe(w, runKey{id, task.Run})
	if !r.running {
		return
	}
	row := &r.row
	if row.Percent != r.percent || r.progressAt.IsZero() {
		r.percent, r.progressAt = row.Percent, now
	}
	u.stragglers = append(u.stragglers, straggler{id: id, run: task.Run})
	u.samples = append(u.samples, health.Sample{
		Worker: task.Worker, Job: id.Job, Elapsed: w.report.sentAt.Sub(r.since), Idle: now.Sub(r.progressAt), Estimate: l.predict(queue, step), Percent: row.Percent,
	})
}

// stopStragglers stops stalled runs, and runs on slow workers that would take
// longer than a restart on another worker.
func (l *loop) stopStragglers(u *usage, now time.Time) {
	l.stragglers, l.samples = u.stragglers, u.samples
	slow := health.SlowWorkers(u.samples)
	for id, factor := range slow {
		w := l.workers[id]
		if now.After(w.pausedUntil) {
			l.Log.Info("slow worker detected", "worker", id, "factor", factor)
		}
		w.pausedUntil = now.Add(slowPause)
	}
	for i := range u.stragglers {
		l.stopIfStraggling(u.stragglers[i], &u.samples[i], slow, now)
	}
}

// stopIfStraggling stops a run if it is a straggler.
func (l *loop) stopIfStraggling(s straggler, sample *health.Sample, slow map[string]float64, now time.Time) {
	_, onSlow := slow[sample.Worker]
	stalled := sample.Stalled()
	tooLong := onSlow && sample.Remaining() > sample.Estimate+restartCost
	if s.run > maxRestarts || (!stalled && !tooLong) {
		return
	}
	r, w := l.runs.Get(s.id), l.workers[sample.Worker]
	if r == nil || r.calling || r.phase != runOrdered || w.unresponsive {
		return
	}
	if stalled {
		w.pausedUntil = now.Add(slowPause)
	}
	l.Log.Info("stopping straggler", "task", s.id.String(), "run", s.run, "worker", sample.Worker, "stalled", stalled, "percent", sample.Percent,
		"elapsed_ms", sample.Elapsed.Milliseconds(), "idle_ms", sample.Idle.Milliseconds(), "estimate_ms", sample.Estimate.Milliseconds())
	l.sendStop(s.id, r, now)
}

// updateHistory records the end of a run in the worker's history and pauses the
// worker if it has become suspect.
func (l *loop) updateHistory(w *worker, job string, kind workstate.EndKind, now time.Time) {
	switch kind {
	case workstate.EndDone:
		w.history.AddSuccess()
	case workstate.EndFailed:
		w.history.AddFailure(job)
	}
	if kind == workstate.EndFailed && w.history.Suspect() {
		l.Log.Info("worker suspect after failures of several jobs", "worker", w.reg.ID)
		w.pausedUntil = now.Add(suspectPause)
	}
}
