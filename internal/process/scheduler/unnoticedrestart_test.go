package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// cutStart executes the first start late, and none of the later ones to its worker.
type cutStart struct{ lateStart }

func (c *cutStart) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	if to.ID == "w1" && c.sent.Load() {
		<-ctx.Done()
		return execution.Answer{}, execution.ErrNoAnswer
	}
	return c.lateStart.Start(ctx, to, o)
}

// TestStartThatAnUnnoticedRestartExecutedHoldsBackTheNextRun guards against a second run while the next incarnation, of which the leader never hears, executes a start that got no answer under the longest lease.
func TestStartThatAnUnnoticedRestartExecutedHoldsBackTheNextRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		f.addWorker("w1", 1000)
		calls := &cutStart{lateStart{fakeWorkers: f.workers, delay: time.Second}}
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(time.Minute)
		f.submit(jobA, step(1))
		time.Sleep(100 * time.Millisecond)
		calls.silent.Store(true)
		f.workers.mu.Lock()
		f.workers.add("w1", 1000)
		f.workers.mu.Unlock()
		f.addWorker("w2", 1000)
		time.Sleep(40 * time.Second)
		if f.workers.starts != 2 {
			t.Errorf("%d starts, expected one on each worker", f.workers.starts)
		}
	})
}

// lowerIncarnation lets a first start without an answer reach, after a delay, the next
// incarnation of w1, which is a lower one and is not cut off. Another leader may follow
// before that.
func lowerIncarnation(t *testing.T, delay time.Duration, leaderChanges bool, check func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		f.addWorker("w1", 1000)
		calls := &cutStart{lateStart{fakeWorkers: f.workers, delay: delay}}
		f.lead()
		defer func() { f.depose() }()
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(time.Minute)
		f.submit(jobA, step(1))
		time.Sleep(100 * time.Millisecond)
		f.workers.mu.Lock()
		w := f.workers.add("w1", 1000)
		w.incarnation -= time.Hour.Milliseconds()
		f.workers.mu.Unlock()
		if leaderChanges {
			time.Sleep(100 * time.Millisecond)
			f.depose()
			f.lead()
			f.loop.post(func(l *loop) { l.Workers = calls })
		}
		f.addWorker("w2", 1000)
		for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(heartbeatInterval) {
			f.register(w, "vm-w1", "svc")
		}
		check(f)
	})
}

// expectTwoStarts reports an error unless the task was started on each worker.
func expectTwoStarts(f *fixture) {
	if f.workers.starts != 2 {
		f.t.Errorf("%d starts, expected one on each worker", f.workers.starts)
	}
}

// TestStartOnAWorkerRestartedWithAnEarlierClockHoldsBackTheNextRun guards against a second run beside one that the incarnation that answers lists as executing under the longest lease.
func TestStartOnAWorkerRestartedWithAnEarlierClockHoldsBackTheNextRun(t *testing.T) {
	lowerIncarnation(t, 150*time.Millisecond, false, expectTwoStarts)
}

// TestNextLeaderWaitsForARunOfAnUnregisteredIncarnation guards against a second run under a new leader while the lower incarnation that answers it executes the first one under the longest lease.
func TestNextLeaderWaitsForARunOfAnUnregisteredIncarnation(t *testing.T) {
	lowerIncarnation(t, 150*time.Millisecond, true, expectTwoStarts)
}

// TestLateStartOnAnUnregisteredIncarnationHoldsBackTheNextRun guards against a second run while a lower incarnation executes a start that reached it seconds after its first answer, under the longest lease.
func TestLateStartOnAnUnregisteredIncarnationHoldsBackTheNextRun(t *testing.T) {
	lowerIncarnation(t, 4*time.Second, false, func(f *fixture) {
		if !f.workers.workers["w2"].executes(f.workers, workload.TaskID{Job: jobA}) {
			f.t.Error("the task was not started on w2")
		}
	})
}
