package scheduler

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/pacing"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// paceInterval is the time between changes of speed on one worker: a tail
// is a figure of the last half second, and a pace takes 100 ms to act.
const paceInterval = 700 * time.Millisecond

// paceUnknown is the pace of a run that a former leader started.
const paceUnknown = -1

// sharing is what fillers and serving tasks share on one worker.
type sharing struct {
	fillers []workload.TaskID
	// tailRatio is the largest share of its target that the tail of a
	// serving task takes.
	tailRatio float64
	serving   bool
}

// noteSharing gathers a task that fills or serves.
func (u *usage) noteSharing(id workload.TaskID, task *workstate.Task, step *workload.Step, w *worker) {
	if !step.BestEffort && step.TailLatencyTarget == 0 {
		return
	}
	s := u.sharing[task.Worker]
	if s == nil {
		s = &sharing{}
		u.sharing[task.Worker] = s
	}
	if step.BestEffort {
		s.fillers = append(s.fillers, id)
		return
	}
	if w == nil || w.report == nil {
		return
	}
	row := w.report.running[runKey{id, task.Run}]
	if row.Percent == atWorkPercent {
		s.serving = true
		s.tailRatio = max(s.tailRatio, float64(row.Usage)/float64(step.TailLatencyTarget.Milliseconds()))
	}
}

// planPace sets the speed of fillers by the tails of the tasks beside them.
func (l *loop) planPace(u *usage, now time.Time) {
	for id, s := range u.sharing {
		w := l.workers[id]
		if w == nil || !w.contact || w.silent || len(s.fillers) == 0 {
			continue
		}
		if now.Sub(w.pacedAt) >= paceInterval {
			w.pacedAt = now
			w.speed = w.nextSpeed(s)
		}
		for _, filler := range s.fillers {
			l.pace(w, filler, now)
		}
	}
}

// nextSpeed returns the speed of a worker's fillers in percent.
func (w *worker) nextSpeed(s *sharing) int {
	if !s.serving {
		return pacing.Full
	}
	return pacing.Next(w.speed, s.tailRatio)
}

// pace tells a worker the speed of a filler, if it has another one.
func (l *loop) pace(w *worker, id workload.TaskID, now time.Time) {
	r := l.runs[id]
	if r == nil || r.phase != runOrdered || r.pacing || r.pace == w.speed || now.Sub(r.pacedAt) < orderRetry {
		return
	}
	speed, number := w.speed, r.number
	r.pacing, r.pacedAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		answer, err := l.Workers.Throttle(ctx, w.address(), id, number, speed, l.term)
		l.post(func(l *loop) { l.paced(id, r, speed, answer, err) })
	}()
}

func (l *loop) paced(id workload.TaskID, r *run, speed int, answer execution.Answer, err error) {
	r.pacing = false
	if err != nil || answer.Refusal != execution.Accepted {
		l.Log.Warn("pace not taken", "task", id.String(), "run", r.number, "worker", r.worker, "percent", speed, "refusal", answer.Refusal, "error", errorText(err))
		return
	}
	l.Log.Info("task paced", "task", id.String(), "run", r.number, "worker", r.worker, "from", r.pace, "percent", speed)
	r.pace = speed
}
