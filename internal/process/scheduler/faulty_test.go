package scheduler

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const (
	// copyInterval is the interval of the calls that are executed a second time.
	copyInterval = 4
	// soonestCopy is the shortest time after which that happens.
	soonestCopy = 2 * time.Second
)

// faultyCalls makes calls to fake workers fail at random.
type faultyCalls struct {
	*fakeWorkers
	*dice
	faulty atomic.Bool
	// crosses, if set, tells whether a call arrives at the next incarnation of its
	// worker.
	crosses func(next *fakeWorker) bool
	// onReport, if set, is called for each report that a leader gets.
	onReport func(to execution.WorkerAddress, sentAt time.Time, report execution.Report)
	// copies is set if calls may be executed a second time, seconds later.
	copies bool
	// kept, if set, holds the last calls to each worker that grant a lease.
	kept map[string]keptCalls
}

// keptCalls are the last start and the last watch that grant a worker a lease.
type keptCalls struct {
	start execution.StartOrder
	watch execution.Watch
}

// callFault is the fault of one call.
type callFault uint8

const (
	noFault callFault = iota
	callLost
	answerLost
	executedLate
	callDelayed
	callRefused
	callFaultCount
)

// fault draws the fault of a call, and the duration of a delay.
func (f *faultyCalls) fault(purpose ...any) (callFault, time.Duration) {
	draw := f.drawNext(purpose...)
	if !f.faulty.Load() || draw%3 > 0 {
		return noFault, 0
	}
	delay := time.Duration(draw >> 20 % uint64(f.slowestOrder))
	return callFault(draw >> 8 % uint64(callFaultCount)), delay
}

// callWithFault makes a call with a fault. The function is told whether it is
// executed after the call has timed out.
func callWithFault[T any](ctx context.Context, fault callFault, delay time.Duration, call func(late bool) (T, error)) (T, error) {
	var none T
	lost := fmt.Errorf("fault: %w", execution.ErrNoAnswer)
	switch fault {
	case callLost:
		<-ctx.Done()
		return none, lost
	case answerLost:
		_, _ = call(false)
		<-ctx.Done()
		return none, lost
	case executedLate:
		go func() {
			time.Sleep(delay)
			_, _ = call(true)
		}()
		<-ctx.Done()
		return none, lost
	case callDelayed:
		// The call does not time out, but answers may overtake each other.
		time.Sleep(min(delay/16, callTimeout-time.Millisecond))
		return call(false)
	}
	return call(false)
}

// Start implements execution.Workers.
func (f *faultyCalls) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	return f.startHeld(ctx, to, o, false)
}

// startHeld makes a start order that was held up on its way, so that its sender may
// wait no longer.
func (f *faultyCalls) startHeld(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder, held bool) (execution.Answer, error) {
	f.keep(to.ID, o.LeaseUntilMS, func(c *keptCalls) { c.start = o })
	fault, delay := f.fault("start", to.ID, o.Task, o.Run)
	if fault == callRefused {
		return execution.Answer{Refusal: execution.RefusedUnhealthy}, nil
	}
	arrives := f.arrival(to.ID)
	answer, err := callWithFault(ctx, fault, delay, func(late bool) (execution.Answer, error) {
		if late && !arrives() {
			return execution.Answer{}, execution.ErrNoAnswer
		}
		return f.start(to, o, late || held)
	})
	f.repeatLater(arrives, answer.Refusal, func() { _, _ = f.start(to, o, true) }, "start", to.ID, o.Task, o.Run)
	return answer, err
}

// Stop implements execution.Workers.
func (f *faultyCalls) Stop(ctx context.Context, to execution.WorkerAddress, task workload.TaskID, run int, token uint64) (execution.Answer, error) {
	fault, delay := f.fault("stop", to.ID, task, run)
	arrives := f.arrival(to.ID)
	answer, err := callWithFault(ctx, fault, delay, func(late bool) (execution.Answer, error) {
		if late && !arrives() {
			return execution.Answer{}, execution.ErrNoAnswer
		}
		return f.fakeWorkers.Stop(ctx, to, task, run, token)
	})
	f.repeatLater(arrives, answer.Refusal, func() { _, _ = f.fakeWorkers.Stop(ctx, to, task, run, token) }, "stop", to.ID, task, run)
	return answer, err
}

// Watch implements execution.Workers.
func (f *faultyCalls) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	f.keep(to.ID, q.LeaseUntilMS, func(c *keptCalls) { c.watch = q })
	fault, delay := f.fault("watch", to.ID)
	arrives, sentAt := f.arrival(to.ID), time.Now()
	report, err := callWithFault(ctx, fault, delay, func(late bool) (execution.Report, error) {
		if !late {
			report, err := f.fakeWorkers.Watch(ctx, to, q)
			if err == nil && f.onReport != nil {
				f.onReport(to, sentAt, report)
			}
			return report, err
		}
		if !arrives() {
			return execution.Report{}, execution.ErrNoAnswer
		}
		return f.reportOnce(to, q)
	})
	f.repeatLater(arrives, report.Refusal, func() { _, _ = f.reportOnce(to, q) }, "watch", to.ID)
	return report, err
}

// reportOnce executes a watch whose answer nobody waits for.
func (f *faultyCalls) reportOnce(to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	f.fakeWorkers.mu.Lock()
	defer f.fakeWorkers.mu.Unlock()
	return f.report(to, q)
}

// keep keeps a call if it grants a lease.
func (f *faultyCalls) keep(id string, leaseMS int64, set func(c *keptCalls)) {
	f.fakeWorkers.mu.Lock()
	defer f.fakeWorkers.mu.Unlock()
	if f.kept != nil && leaseMS > 0 {
		c := f.kept[id]
		set(&c)
		f.kept[id] = c
	}
}

// takeKept returns the calls that were kept for a worker.
func (f *faultyCalls) takeKept(id string) keptCalls {
	f.fakeWorkers.mu.Lock()
	defer f.fakeWorkers.mu.Unlock()
	return f.kept[id]
}

// grantStray lets a call to a worker's former incarnation arrive at the present one: the
// watch, or the start, which is refused there but grants its lease.
func (f *faultyCalls) grantStray(id string, c keptCalls, byStart bool) {
	f.fakeWorkers.mu.Lock()
	defer f.fakeWorkers.mu.Unlock()
	to := execution.WorkerAddress{ID: id, Address: id}
	if !byStart {
		_, _ = f.report(to, c.watch)
	} else if w, refusal, err := f.reach(to, c.start.FencingToken); err == nil && refusal == execution.Accepted {
		w.extend(c.start.LeaseUntilMS)
	}
}

// repeatLater executes some calls that were not refused a second time, late.
func (f *faultyCalls) repeatLater(arrives func() bool, refusal execution.Refusal, call func(), purpose ...any) {
	if !f.copies || refusal != execution.Accepted {
		return
	}
	draw := f.drawNext("copy", fmt.Sprint(purpose...))
	if !f.faulty.Load() || draw%copyInterval > 0 {
		return
	}
	go func() {
		time.Sleep(soonestCopy + time.Duration(draw>>20%uint64(f.slowestOrder-soonestCopy)))
		if arrives() {
			call()
		}
	}()
}

// arrival returns a function that reports whether a late call still arrives. Unless
// calls cross restarts, a call does not arrive after the worker that it was made to
// has been replaced, since its connection has ended.
func (f *faultyCalls) arrival(id string) func() bool {
	before := f.worker(id)
	return func() bool {
		now := f.worker(id)
		return now == before || now != nil && f.crosses != nil && f.crosses(now)
	}
}

func (f *faultyCalls) worker(id string) *fakeWorker {
	f.fakeWorkers.mu.Lock()
	defer f.fakeWorkers.mu.Unlock()
	return f.workers[id]
}
