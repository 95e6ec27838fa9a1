package scheduler

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/pacing"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// speedInterval is the time between speed changes on one worker. A tail
// latency covers the last half second, and a new speed takes effect after
// 100 ms.
const speedInterval = 700 * time.Millisecond

// speedUnknown is the speed of a run that a former leader started.
const speedUnknown = -1

// colocation describes the best-effort tasks and serving tasks on one worker.
type colocation struct {
	bestEffort []workload.TaskID
	// tailRatio is the largest ratio of the tail latency of a serving task to
	// its target.
	tailRatio float64
	// serving is set if a task with a tail latency target is at work.
	serving bool
}

// recordColocation records a best-effort task or a task with a tail latency
// target.
func (u *usage) recordColocation(id workload.TaskID, task *workstate.Task, step *workload.Step, w *worker) {
	if !step.BestEffort && step.TailLatencyTarget == 0 {
		return
	}
	c := u.colocations[task.Worker]
	if c == nil {
		c = &colocation{}
		u.colocations[task.Worker] = c
	}
	if step.BestEffort {
		c.bestEffort = append(c.bestEffort, id)
		return
	}
	if w == nil || w.report == nil {
		return
	}
	row := w.report.running[runKey{id, task.Run}]
	if row.Percent == atWorkPercent {
		c.serving = true
		c.tailRatio = max(c.tailRatio, float64(row.Usage)/float64(step.TailLatencyTarget.Milliseconds()))
	}
}

// setBestEffortSpeeds sets the speed of best-effort tasks according to the tail
// latencies of the serving tasks on the same worker.
func (l *loop) setBestEffortSpeeds(u *usage, now time.Time) {
	for id, c := range u.colocations {
		w := l.workers[id]
		if w == nil || !w.answering() || len(c.bestEffort) == 0 {
			continue
		}
		if now.Sub(w.speedSetAt) >= speedInterval {
			w.speedSetAt = now
			w.speed = w.nextSpeed(c)
		}
		for _, task := range c.bestEffort {
			l.setSpeed(w, task, now)
		}
	}
}

// nextSpeed returns the next speed of a worker's best-effort tasks in percent.
func (w *worker) nextSpeed(c *colocation) int {
	if !c.serving {
		return pacing.Full
	}
	return pacing.Next(w.speed, c.tailRatio)
}

// setSpeed orders a new speed of a best-effort task unless it has that speed.
func (l *loop) setSpeed(w *worker, id workload.TaskID, now time.Time) {
	r := l.runs.Get(id)
	if r == nil || r.phase != runOrdered || r.settingSpeed || r.speed == w.speed || now.Sub(r.speedSetAt) < orderRetry || !l.mayOrder(w) {
		return
	}
	speed, number := w.speed, r.number
	r.settingSpeed, r.speedSetAt = true, now
	address, token := w.address(), uint64(w.token)
	execution.InBackground(l.ctx, callTimeout, func(ctx context.Context) (execution.Answer, error) {
		return l.Workers.Throttle(ctx, address, id, number, speed, token)
	}, l.countOrder(w, func(l *loop, answer execution.Answer, err error) {
		l.handleSpeedAnswer(id, r, w, speed, answer, err)
	}))
}

func (l *loop) handleSpeedAnswer(id workload.TaskID, r *run, w *worker, speed int, answer execution.Answer, err error) {
	r.settingSpeed = false
	l.recordRefusal(w, "throttle", answer.Refusal)
	if err != nil || answer.Refusal != execution.Accepted {
		l.Log.Warn("speed order failed or refused", "task", id.String(), "run", r.number, "worker", r.worker, "percent", speed, "refusal", answer.Refusal, "error", errorText(err))
		return
	}
	l.Log.Info("task speed changed", "task", id.String(), "run", r.number, "worker", r.worker, "from", r.speed, "percent", speed)
	r.speed = speed
}
