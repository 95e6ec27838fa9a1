package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// leadWithRun starts a leader whose only worker, w1, has executed the first task of a
// job for up to one second. Each run takes two.
func leadWithRun(t *testing.T, steps ...workload.Step) (*fixture, *fakeWorker) {
	f := newFixture(t, 2*time.Second)
	w := f.addWorker("w1", 1000)
	f.lead()
	time.Sleep(time.Second)
	f.submit(jobA, steps...)
	time.Sleep(time.Second)
	return f, w
}

// reportDuringCommit lets the run of a silent worker succeed, which reports it while
// the end that the leader has queued for it commits, and checks that the job has
// succeeded by one start.
func (f *fixture) reportDuringCommit(w *fakeWorker) {
	f.t.Helper()
	f.cutWhileRunsEnd(w, 1500*time.Millisecond, false)
	// The commit is in flight for longer than a watch takes.
	f.replica.setDelay(2 * time.Second)
	f.awaitQueuedEnd()
	f.setUnreachable(w, false)
	time.Sleep(time.Second)
	f.replica.setDelay(10 * time.Millisecond)
	f.await(jobA, workstate.Succeeded, 3*time.Second)
	if f.workers.starts != 1 {
		f.t.Errorf("%d starts of a task whose first run succeeded", f.workers.starts)
	}
}

// cutWhileRunsEnd cuts off a worker and lets its runs end after the given time.
func (f *fixture) cutWhileRunsEnd(w *fakeWorker, after time.Duration, failed bool) {
	f.setUnreachable(w, true)
	time.Sleep(after)
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	w.failAll = failed
	f.workers.advance(w)
}

// awaitQueuedEnd waits until the leader has queued the end of a run.
func (f *fixture) awaitQueuedEnd() {
	for queued := false; !queued; time.Sleep(time.Millisecond) {
		result := make(chan bool)
		f.loop.post(func(l *loop) { result <- len(l.ends) > 0 })
		queued = <-result
	}
}

// awaitRunOn waits until a worker executes a run.
func (f *fixture) awaitRunOn(id string) {
	for !f.executesOn(id) {
		time.Sleep(10 * time.Millisecond)
	}
}

// TestSuccessReportedWhileItsInterruptionCommitsIsNotStartedAgain guards against a second run of a task whose success was passed over and acknowledged.
func TestSuccessReportedWhileItsInterruptionCommitsIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, w := leadWithRun(t, step(1))
		defer f.depose()
		f.reportDuringCommit(w)
	})
}

// TestSuccessOfAReplacedRunEndsTheTask guards against a task that runs to its end a second time though its first success is known.
func TestSuccessOfAReplacedRunEndsTheTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, first := leadWithRun(t, step(1))
		defer f.depose()
		f.cutWhileRunsEnd(first, 1500*time.Millisecond, false)
		f.workers.durationOf = func(workload.TaskID, int) time.Duration { return time.Hour }
		f.addWorker("w2", 1000)
		f.awaitRunOn("w2")
		f.setUnreachable(first, false)
		f.await(jobA, workstate.Succeeded, 2*time.Second)
		time.Sleep(2 * time.Second)
		if f.executesOn("w2") {
			t.Error("the second run is still executing")
		}
	})
}

// TestFailureOfAReplacedRunCountsAsAnAttempt guards against more runs than the queue's attempts: the end of a run whose lease had expired was acknowledged without being counted.
func TestFailureOfAReplacedRunCountsAsAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, first := leadWithRun(t, step(1))
		defer f.depose()
		f.cutWhileRunsEnd(first, 500*time.Millisecond, true)
		second := f.addWorker("w2", 1000)
		f.awaitRunOn("w2")
		f.setUnreachable(first, false)
		time.Sleep(time.Second)
		f.workers.mu.Lock()
		second.failAll = true
		f.workers.mu.Unlock()
		f.await(jobA, workstate.Failed, 2*time.Second)
		if f.workers.starts != testAttempts {
			t.Errorf("%d starts of a task with %d attempts", f.workers.starts, testAttempts)
		}
	})
}

// executesOn reports whether a worker executes a run.
func (f *fixture) executesOn(id string) bool {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	w := f.workers.workers[id]
	f.workers.advance(w)
	return len(w.running) > 0
}
