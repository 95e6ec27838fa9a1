package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/health"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const (
	// suspectPause keeps new tasks from a worker that fails all it starts.
	suspectPause = 2 * time.Second
	// slowPause keeps new tasks from a slow worker, or one where a run
	// stands still, until it is judged again.
	slowPause = time.Second
	// restartCost is what a task loses when it starts anew elsewhere.
	restartCost = 300 * time.Millisecond
	// maxRestarts bounds the starts of a task that are given up for being
	// slow: its own work may be long.
	maxRestarts = 2
)

// straggler is a run that may be given up.
type straggler struct {
	id     workload.TaskID
	run    int
	sample health.Sample
}

// noteProgress gathers how far a run that ends by itself has come.
func (l *loop) noteProgress(u *usage, id workload.TaskID, task *workstate.Task, step *workload.Step, r *run, now time.Time) {
	w := l.workers[task.Worker]
	if step.LongRunning || step.Gang || w == nil || w.report == nil || r.phase != runOrdered {
		return
	}
	row, shown := w.report.running[runKey{id, task.Run}]
	if !shown {
		return
	}
	if row.Percent != r.percent || r.progressAt.IsZero() {
		r.percent, r.progressAt = row.Percent, now
	}
	u.stragglers = append(u.stragglers, straggler{id: id, run: task.Run, sample: health.Sample{
		Worker: task.Worker, Elapsed: w.report.sentAt.Sub(r.since), Idle: now.Sub(r.progressAt), Estimate: step.Estimate, Percent: row.Percent,
	}})
}

// giveUpStragglers stops runs that stand still, and those on slow workers
// that would take longer than a new start elsewhere.
func (l *loop) giveUpStragglers(u *usage, now time.Time) {
	samples := make([]health.Sample, len(u.stragglers))
	for i := range u.stragglers {
		samples[i] = u.stragglers[i].sample
	}
	slow := health.SlowWorkers(samples)
	for id, factor := range slow {
		w := l.workers[id]
		if now.After(w.pausedUntil) {
			l.Log.Info("worker is slow", "worker", id, "factor", factor)
		}
		w.pausedUntil = now.Add(slowPause)
	}
	for i := range u.stragglers {
		l.giveUp(&u.stragglers[i], slow, now)
	}
}

func (l *loop) giveUp(s *straggler, slow map[string]float64, now time.Time) {
	_, onSlow := slow[s.sample.Worker]
	stalled := s.sample.Stalled()
	tooLong := onSlow && s.sample.Remaining() > s.sample.Estimate+restartCost
	if s.run > maxRestarts || (!stalled && !tooLong) {
		return
	}
	r, w := l.runs[s.id], l.workers[s.sample.Worker]
	if r == nil || r.calling || r.phase != runOrdered || w.silent {
		return
	}
	if stalled {
		w.pausedUntil = now.Add(slowPause)
	}
	l.Log.Info("run given up", "task", s.id.String(), "run", s.run, "worker", s.sample.Worker, "stalled", stalled, "percent", s.sample.Percent,
		"elapsed_ms", s.sample.Elapsed.Milliseconds(), "idle_ms", s.sample.Idle.Milliseconds(), "estimate_ms", s.sample.Estimate.Milliseconds())
	l.stop(s.id, r, now)
}

// noteEnd keeps the record of a worker's ends.
func (l *loop) noteEnd(w *worker, job string, kind workstate.EndKind, now time.Time) {
	switch kind {
	case workstate.EndDone:
		w.record.AddSuccess()
	case workstate.EndFailed:
		w.record.AddFailure(job)
	}
	if kind == workstate.EndFailed && w.record.Suspect() {
		l.Log.Info("worker fails what it starts", "worker", w.reg.ID)
		w.pausedUntil = now.Add(suspectPause)
	}
}
