package scheduler

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// faultyCalls lets calls to fake workers go wrong.
type faultyCalls struct {
	*fakeWorkers
	*dice
	faulty atomic.Bool
}

// callFault is what becomes of one call.
type callFault uint8

const (
	callPasses callFault = iota
	callLost
	answerLost
	carriedOutLate
	callDelayed
	callRefused
	callFaults
)

// fault draws what becomes of a call, and how long a delay takes.
func (f *faultyCalls) fault(purpose ...any) (callFault, time.Duration) {
	draw := f.next(purpose...)
	if !f.faulty.Load() || draw%3 > 0 {
		return callPasses, 0
	}
	delay := time.Duration(draw >> 20 % uint64(slowestOrder))
	return callFault(draw >> 8 % uint64(callFaults)), delay
}

// pass carries a call out under a fault. The call is told whether it is late.
func pass[T any](ctx context.Context, fault callFault, delay time.Duration, call func(late bool) (T, error)) (T, error) {
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
	case carriedOutLate:
		go func() {
			time.Sleep(delay)
			_, _ = call(true)
		}()
		<-ctx.Done()
		return none, lost
	case callDelayed:
		// Within the time of the call, so that answers overtake each other.
		time.Sleep(min(delay/16, callTimeout-time.Millisecond))
		return call(false)
	}
	return call(false)
}

// Start implements execution.Workers.
func (f *faultyCalls) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	fault, delay := f.fault("start", to.ID, o.Task, o.Run)
	if fault == callRefused {
		return execution.Answer{Refusal: execution.RefusedUnhealthy}, nil
	}
	arrives := f.arrival(to.ID)
	return pass(ctx, fault, delay, func(late bool) (execution.Answer, error) {
		if late && !arrives() {
			return execution.Answer{}, execution.ErrNoAnswer
		}
		return f.start(to, o, late)
	})
}

// Stop implements execution.Workers.
func (f *faultyCalls) Stop(ctx context.Context, to execution.WorkerAddress, task workload.TaskID, run int, fence uint64) (execution.Answer, error) {
	fault, delay := f.fault("stop", to.ID, task, run)
	arrives := f.arrival(to.ID)
	return pass(ctx, fault, delay, func(late bool) (execution.Answer, error) {
		if late && !arrives() {
			return execution.Answer{}, execution.ErrNoAnswer
		}
		return f.fakeWorkers.Stop(ctx, to, task, run, fence)
	})
}

// Watch implements execution.Workers.
func (f *faultyCalls) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	fault, delay := f.fault("watch", to.ID)
	arrives := f.arrival(to.ID)
	return pass(ctx, fault, delay, func(late bool) (execution.Report, error) {
		if !late {
			return f.fakeWorkers.Watch(ctx, to, q)
		}
		if !arrives() {
			return execution.Report{}, execution.ErrNoAnswer
		}
		f.fakeWorkers.mu.Lock()
		defer f.fakeWorkers.mu.Unlock()
		return f.look(to, q)
	})
}

// arrival returns what tells later whether a late call still arrives: its
// connection ends with the life of the worker that it was made to.
func (f *faultyCalls) arrival(id string) func() bool {
	life := f.life(id)
	return func() bool { return f.life(id) == life }
}

func (f *faultyCalls) life(id string) *fakeWorker {
	f.fakeWorkers.mu.Lock()
	defer f.fakeWorkers.mu.Unlock()
	return f.workers[id]
}
