package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workerlease"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// TestWorkerRestartedWithAnEarlierClockIsNotTakenForItsFormerIncarnation guards against a start after a run has ended done: the end was acknowledged by the numbers of the former incarnation.
func TestWorkerRestartedWithAnEarlierClockIsNotTakenForItsFormerIncarnation(t *testing.T) {
	checkRestartWithEarlierTime(t, func(first *fakeWorker) int64 { return 2 * first.clockStartMS })
}

// TestClockOfTheNextIncarnationDoesNotProlongTheLeaseOfTheFormerOne guards against a task that waits for hours: the lease granted to a worker was compared with the clock of its next incarnation, which had answered a start.
func TestClockOfTheNextIncarnationDoesNotProlongTheLeaseOfTheFormerOne(t *testing.T) {
	checkRestartWithEarlierTime(t, func(first *fakeWorker) int64 { return first.clockStartMS / 2 })
}

// checkRestartWithEarlierTime restarts a worker whose time of day is set back meanwhile,
// and whose clock then shows what the function returns. The leader starts a task before
// it knows.
func checkRestartWithEarlierTime(t *testing.T, clockMS func(first *fakeWorker) int64) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		first := f.addWorker("w1", 1000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		f.await(jobA, workstate.Succeeded, time.Second)
		time.Sleep(time.Second)
		f.workers.mu.Lock()
		w := f.workers.add("w1", 1000)
		w.incarnation -= time.Hour.Milliseconds()
		w.clockStartMS = clockMS(first)
		f.workers.mu.Unlock()
		f.submit("bbbbbbbbbbbbbbbb", step(1))
		// The start gave the new incarnation the longest lease, and a watch shows it later.
		leaseEnd := time.Duration(float64(longestLease*time.Millisecond)*(1+workerlease.Drift)) + idleWatchWait
		for end := time.Now().Add(max(lostAfter, leaseEnd) + time.Second); time.Now().Before(end); time.Sleep(heartbeatInterval) {
			f.register(w, "vm-w1", "svc")
			heard := w.heard()
			f.loop.post(func(l *loop) { l.recordHeartbeats([]workcall.HeardHeartbeat{heard}, time.Now()) })
		}
		f.await("bbbbbbbbbbbbbbbb", workstate.Succeeded, time.Second)
	})
}
