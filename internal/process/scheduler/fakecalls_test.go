package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/version/workload"
)

func (f *fakeWorkers) Start(_ context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	return f.start(to, o, false)
}

// start executes a start order, which may have been delayed past its call.
func (f *fakeWorkers) start(to execution.WorkerAddress, o execution.StartOrder, late bool) (execution.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, refusal, err := f.reach(to, o.FencingToken)
	if err != nil || refusal != execution.Accepted {
		return execution.Answer{Refusal: refusal}, err
	}
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		return execution.Answer{ClockMS: w.clock()}, nil
	}
	if o.Run <= w.highest[o.Task] {
		w.extend(o.LeaseUntilMS)
		return execution.Answer{Refusal: execution.RefusedStaleRun, ClockMS: w.clock()}, nil
	}
	if f.ticket != nil && !f.ticket(w, o) {
		return execution.Answer{Refusal: execution.RefusedTicket, ClockMS: w.clock()}, nil
	}
	if o.LeaseUntilMS < w.clock() {
		return execution.Answer{Refusal: execution.RefusedLeaseExpired, ClockMS: w.clock()}, nil
	}
	f.checkStart(w, o, late)
	f.checkLimit(w, o.Task, late)
	if f.quotas != nil {
		f.quotas.check(f, runKey{o.Task, o.Run})
	}
	f.starts++
	w.extend(o.LeaseUntilMS)
	duration := f.duration
	if f.durationOf != nil {
		duration = f.durationOf(o.Task, o.Run)
	}
	if f.disruptions != nil && o.Task.Job == f.longRunningJob {
		duration = time.Hour
		f.disruptions.taskStarted(o.Task)
	}
	w.running[o.Task] = &fakeRun{task: o.Task, run: o.Run, endsAt: time.Now().Add(duration), startedAt: time.Now()}
	w.notifyChanged()
	if f.deadly != nil && f.deadly(o.Task) {
		go f.crashSoon(w, o.Task)
	}
	if w.loseStarts > 0 {
		w.loseStarts--
		return execution.Answer{}, fmt.Errorf("lost: %w", execution.ErrNoAnswer)
	}
	return execution.Answer{ClockMS: w.clock()}, nil
}

// stopAll ends all runs of a worker whose VM goes down by order.
func (f *fakeWorkers) stopAll(w *fakeWorker) {
	for task := range w.running {
		f.recordAway(task, true)
	}
	w.running = map[workload.TaskID]*fakeRun{}
}

// crash ends all runs of a worker that crashes.
func (f *fakeWorkers) crash(w *fakeWorker) {
	for task := range w.running {
		f.recordAway(task, false)
		f.ledger.crashed(task)
	}
	w.running = map[workload.TaskID]*fakeRun{}
}

// recordAway records that a long-running task is away.
func (f *fakeWorkers) recordAway(task workload.TaskID, byOrder bool) {
	if f.disruptions != nil && task.Job == f.longRunningJob {
		f.disruptions.taskEnded(task, byOrder)
	}
}

// longestLease is the longest lease that a worker accepts, in milliseconds.
const longestLease = 10_000

// extend extends the lease, up to the longest one.
func (w *fakeWorker) extend(untilMS int64) {
	w.leaseMS = max(w.leaseMS, min(untilMS, w.clock()+longestLease))
}

// checkStart reports an error if the task is executing on a worker or is done.
func (f *fakeWorkers) checkStart(w *fakeWorker, o execution.StartOrder, late bool) {
	for _, other := range f.workers {
		if other != w {
			f.advance(other)
		}
		if r := other.running[o.Task]; r != nil {
			f.t.Errorf("%s run %d starts on %s while run %d executes on %s", o.Task, o.Run, w.id, r.run, other.id)
		}
	}
	f.ledger.started(o.Task, w.id, late)
}

func (f *fakeWorkers) Stop(_ context.Context, to execution.WorkerAddress, task workload.TaskID, run int, token uint64) (execution.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, refusal, err := f.reach(to, token)
	if err != nil || refusal != execution.Accepted {
		return execution.Answer{Refusal: refusal}, err
	}
	w.highest[task] = max(w.highest[task], run)
	if r := w.running[task]; r != nil && r.run == run {
		f.stop(w, r)
		w.notifyChanged()
	}
	return execution.Answer{ClockMS: w.clock()}, nil
}

// stop ends a run after the time that the worker takes for it.
func (f *fakeWorkers) stop(w *fakeWorker, r *fakeRun) {
	if w.stopTime == 0 {
		f.end(w, r, execution.ReasonStopped)
	} else if r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(w.stopTime)
	}
}

func (f *fakeWorkers) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	deadline := time.Now().Add(time.Duration(q.WaitMS) * time.Millisecond)
	f.mu.Lock()
	watched := f.workers[to.ID]
	if watched != nil {
		watched.watchCalls++
	}
	f.mu.Unlock()
	for {
		f.mu.Lock()
		if f.workers[to.ID] != watched {
			// The connection has ended with the incarnation of the worker.
			f.mu.Unlock()
			return execution.Report{}, execution.ErrNoAnswer
		}
		report, err := f.report(to, q)
		// The values of a call take effect when it arrives, and not again while
		// it waits.
		q.AckedEnd, q.LeaseUntilMS = 0, 0
		next, changed := f.nextEnd(to.ID, deadline)
		f.mu.Unlock()
		if errors.Is(err, execution.ErrConnectionRefused) {
			return report, err
		}
		if err != nil {
			<-ctx.Done()
			return report, err
		}
		if len(report.Ended) > 0 || !time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
			return report, nil
		}
		select {
		case <-time.After(time.Until(next)):
		case <-changed:
		case <-ctx.Done():
			return report, ctx.Err()
		}
	}
}

// nextEnd returns when the next run of a worker ends by itself, limited to the
// given time, and a channel that is closed when that changes.
func (f *fakeWorkers) nextEnd(id string, limit time.Time) (time.Time, chan struct{}) {
	w := f.workers[id]
	if w == nil {
		return limit, nil
	}
	for _, r := range w.running {
		if !w.hangAll && r.endsAt.Before(limit) {
			limit = r.endsAt
		}
		if !r.stopsAt.IsZero() && r.stopsAt.Before(limit) {
			limit = r.stopsAt
		}
	}
	return limit, w.changed
}

// notifyChanged wakes up the watches of a worker.
func (w *fakeWorker) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (f *fakeWorkers) report(to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	w, refusal, err := f.reach(to, q.FencingToken)
	if err != nil || refusal != execution.Accepted {
		return execution.Report{Refusal: refusal}, err
	}
	w.extend(q.LeaseUntilMS)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > q.AckedEnd {
			kept = append(kept, e)
		} else if end := w.reportedEnds[e.Number]; end.order > w.leaseEndOrder {
			f.ledger.acknowledge(e.Task, end)
		}
	}
	w.ended = kept
	report := execution.Report{ClockMS: w.clock(), Incarnation: w.incarnation, Ended: append([]execution.EndedRun(nil), w.ended...)}
	if q.EndsOnly && len(report.Ended) > 0 {
		report.EndsOnly = true
		return report, nil
	}
	for _, r := range w.running {
		report.Running = append(report.Running, execution.RunningTask{Task: r.task, Run: r.run, Percent: w.percent(r, f.startup), Usage: w.usage(r.task)})
	}
	return report, nil
}

func (f *fakeWorkers) Throttle(_ context.Context, to execution.WorkerAddress, task workload.TaskID, _, percent int, token uint64) (execution.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, refusal, err := f.reach(to, token)
	if err != nil || refusal != execution.Accepted {
		return execution.Answer{Refusal: refusal}, err
	}
	w.speeds[task] = percent
	return execution.Answer{ClockMS: w.clock()}, nil
}

// percent returns the progress of a run. A run of an hour or more represents a
// long-running task, which is at work after its startup.
func (w *fakeWorker) percent(r *fakeRun, startup time.Duration) int {
	length := r.endsAt.Sub(r.startedAt)
	switch {
	case length >= time.Hour && time.Since(r.startedAt) < startup:
		return 0
	case length >= time.Hour:
		return 100
	case w.hangAll:
		return 0
	}
	return int(100 * time.Since(r.startedAt) / length)
}

// usage returns the tail latency that a report shows for a task, which depends
// on the speeds of the other tasks.
func (w *fakeWorker) usage(task workload.TaskID) int64 {
	sum := 0.0
	for other := range w.running {
		if other == task {
			continue
		}
		speed, ordered := w.speeds[other]
		if !ordered {
			speed = 100
		}
		sum += float64(speed) * w.tailPerPercent
	}
	return int64(sum)
}
func (f *fakeWorkers) Forget(string) {}
