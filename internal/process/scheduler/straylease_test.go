package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestStrayLeaseEndsTheLongestTimeAfterTheFirstContact guards against a lost worker whose tasks wait for leases that its refusal of late calls rules out, or start elsewhere before a stray lease has ended.
func TestStrayLeaseEndsTheLongestTimeAfterTheFirstContact(t *testing.T) {
	const longest = 10 * time.Second
	for name, c := range map[string]struct {
		clock                       time.Duration
		restarted, registeredBefore bool
		wanted                      time.Duration
	}{
		"new":                      {100 * time.Millisecond, false, false, leaseTime + 100*time.Millisecond},
		"restarted":                {100 * time.Millisecond, true, false, longest + 100*time.Millisecond},
		"restarted, deregistered":  {100 * time.Millisecond, false, true, longest + 100*time.Millisecond},
		"restarted, found late":    {staleCallTime + time.Second, true, false, staleCallTime + longest},
		"restarted long ago":       {time.Hour, true, false, time.Hour + leaseTime},
		"registered again at once": {time.Hour, false, true, time.Hour + leaseTime},
	} {
		w := &worker{reg: workstate.Worker{Restarted: c.restarted}, registeredBefore: c.registeredBefore, clockMS: c.clock.Milliseconds()}
		if lease := time.Duration(w.maxInitialLease(longest)) * time.Millisecond; lease != c.wanted {
			t.Errorf("%s: the lease ends at %s, expected %s", name, lease, c.wanted)
		}
	}
}

// TestWorkerRegisteredAgainMayHoldAStrayLease guards against a task that starts elsewhere beside a run whose lease a late call to a deregistered incarnation has extended.
func TestWorkerRegisteredAgainMayHoldAStrayLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		first := f.addWorker("w1", 1000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.commit(&workstate.Command{Deregister: &workstate.Deregister{ID: "w1", Incarnation: first.incarnation}})
		time.Sleep(time.Second)
		second := f.workers.add("w1", 1000)
		second.leaseMS = second.clock() + longestLease
		f.register(second, "vm-w1", "svc")
		f.cutOffRestarted(second)
	})
}

// cutOffRestarted cuts off a worker that has just restarted while it executes a task,
// which must start again on another one once the lease has ended.
func (f *fixture) cutOffRestarted(w *fakeWorker) {
	f.t.Helper()
	time.Sleep(time.Second)
	f.submit(jobA, step(1))
	time.Sleep(500 * time.Millisecond)
	if !w.executes(f.workers, workload.TaskID{Job: jobA}) {
		f.t.Fatal("the task was not started")
	}
	f.setUnreachable(w, true)
	f.addWorker("w2", 1000)
	time.Sleep(2 * longestLease * time.Millisecond)
	if !f.workers.workers["w2"].executes(f.workers, workload.TaskID{Job: jobA}) {
		f.t.Error("the task was not started again")
	}
}

// TestTaskWaitsForALeaseGrantedBeforeTheFirstCall guards against a second run while a restarted worker, cut off 2 s later, executes the first one: a watch for its former incarnation had granted it the longest lease.
func TestTaskWaitsForALeaseGrantedBeforeTheFirstCall(t *testing.T) {
	for name, leaderChanges := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, time.Minute)
				f.addWorker("w1", 1000)
				calls := &recordedCalls{fakeWorkers: f.workers}
				f.lead()
				defer func() { f.depose() }()
				f.loop.post(func(l *loop) { l.Workers = calls })
				time.Sleep(time.Second)
				_, watches, _ := calls.take()
				f.workers.mu.Lock()
				second := f.workers.add("w1", 1000)
				_, _ = f.workers.report(execution.WorkerAddress{ID: "w1"}, watches[len(watches)-1])
				granted := second.leaseMS - second.clock()
				f.workers.mu.Unlock()
				if granted != longestLease {
					t.Fatalf("the watch granted %d ms", granted)
				}
				if leaderChanges {
					f.depose()
				}
				f.register(second, "vm-w1", "svc")
				if leaderChanges {
					f.lead()
				}
				time.Sleep(500 * time.Millisecond)
				f.cutOffRestarted(second)
			})
		})
	}
}

// lateStart executes the first start late, and answers no watch while silent is set.
type lateStart struct {
	*fakeWorkers
	delay  time.Duration
	sent   atomic.Bool
	silent atomic.Bool
}

func (c *lateStart) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	if c.sent.Swap(true) {
		return c.fakeWorkers.Start(ctx, to, o)
	}
	time.AfterFunc(c.delay, func() { _, _ = c.start(to, o, true) })
	<-ctx.Done()
	return execution.Answer{}, execution.ErrNoAnswer
}

func (c *lateStart) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	if to.ID == "w1" && c.silent.Load() {
		<-ctx.Done()
		return execution.Report{}, execution.ErrNoAnswer
	}
	return c.fakeWorkers.Watch(ctx, to, q)
}

// TestTaskWaitsForAStartThatReachesARestartedWorkerLate guards against a second run while the next incarnation, which the leader does not reach, executes a start that came 11 s late.
func TestTaskWaitsForAStartThatReachesARestartedWorkerLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		f.addWorker("w1", 1000)
		calls := &lateStart{fakeWorkers: f.workers, delay: 11 * time.Second}
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(time.Minute)
		f.submit(jobA, step(1))
		time.Sleep(100 * time.Millisecond)
		calls.silent.Store(true)
		f.addWorker("w1", 1000)
		f.addWorker("w2", 1000)
		time.Sleep(40 * time.Second)
		if f.workers.starts != 2 {
			t.Errorf("%d starts, expected one on each worker", f.workers.starts)
		}
	})
}
