package scheduler

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// routeTime is how long a worker keeps its delegate.
const routeTime = 5 * time.Second

// fakeDelegate is a process that makes calls to workers for all leaders.
type fakeDelegate struct {
	mu sync.Mutex
	// While it is frozen, the calls and answers that it has stay there.
	frozenUntil time.Time
	// mutedUntil is the time up to which its answers are lost.
	mutedUntil time.Time
	// slowUntil is the time up to which its answers are relayed late.
	slowUntil time.Time
}

// awaitThaw waits while the delegate is frozen.
func (d *fakeDelegate) awaitThaw() {
	for {
		d.mu.Lock()
		left := time.Until(d.frozenUntil)
		d.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (d *fakeDelegate) muted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.mutedUntil)
}

func (d *fakeDelegate) slow() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.slowUntil)
}

// fakeDelegates makes the calls of leaders to workers through delegates that may be
// frozen, lose answers, or relay them late. Calls that a delegate holds are executed
// when it goes on, whether or not their leader still leads.
type fakeDelegates struct {
	*faultyCalls
	list []*fakeDelegate
}

var _ execution.Workers = (*fakeDelegates)(nil)

func newFakeDelegates(calls *faultyCalls, count int) *fakeDelegates {
	f := &fakeDelegates{faultyCalls: calls}
	for range count {
		f.list = append(f.list, &fakeDelegate{})
	}
	return f
}

// choose returns the delegate of a worker, which changes from time to time.
func (f *fakeDelegates) choose(worker string) *fakeDelegate {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, worker, time.Now().UnixNano()/int64(routeTime))
	return f.list[int(hash.Sum32())%len(f.list)]
}

// outcome is the answer to a call or its failure.
type outcome[T any] struct {
	answer T
	err    error
}

// callThrough makes a call through a delegate. The function is told whether the
// delegate held the call for longer than its caller waits. Like an order, the call does
// not arrive after its worker has been replaced.
func callThrough[T any](ctx context.Context, f *fakeDelegates, worker string, call func(ctx context.Context, held bool) (T, error)) (T, error) {
	d, arrives := f.choose(worker), f.arrival(worker)
	deadline, _ := ctx.Deadline()
	timeout := time.Until(deadline)
	answered := make(chan outcome[T], 1)
	go func() {
		d.awaitThaw()
		if !arrives() {
			return
		}
		own, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		answer, err := call(own, !time.Now().Before(deadline))
		d.awaitThaw()
		if d.muted() {
			return
		}
		if d.slow() {
			time.Sleep(time.Duration(f.drawNext("relay", worker) % uint64(callTimeout)))
		}
		answered <- outcome[T]{answer, err}
	}()
	select {
	case o := <-answered:
		return o.answer, o.err
	case <-ctx.Done():
		var none T
		return none, fmt.Errorf("delegate: %w", execution.ErrNoAnswer)
	}
}

// Start implements execution.Workers.
func (f *fakeDelegates) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	return callThrough(ctx, f, to.ID, func(ctx context.Context, held bool) (execution.Answer, error) {
		return f.startHeld(ctx, to, o, held)
	})
}

// Stop implements execution.Workers.
func (f *fakeDelegates) Stop(ctx context.Context, to execution.WorkerAddress, task workload.TaskID, run int, token uint64) (execution.Answer, error) {
	return callThrough(ctx, f, to.ID, func(ctx context.Context, _ bool) (execution.Answer, error) {
		return f.faultyCalls.Stop(ctx, to, task, run, token)
	})
}

// Watch implements execution.Workers.
func (f *fakeDelegates) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	return callThrough(ctx, f, to.ID, func(ctx context.Context, _ bool) (execution.Report, error) {
		return f.faultyCalls.Watch(ctx, to, q)
	})
}
