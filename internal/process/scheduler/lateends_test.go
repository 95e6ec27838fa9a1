package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestTaskWhoseReplacedRunSucceedsLateIsDoneOnce guards against a leader that panics: a task was counted as done twice when the worker of its last run came back too.
func TestTaskWhoseReplacedRunSucceedsLateIsDoneOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, first := leadWithRun(t, step(1), step(1, 0))
		defer f.depose()
		f.cutWhileRunsEnd(first, 1500*time.Millisecond, false)
		second := f.addWorker("w2", 1000)
		f.awaitRunOn("w2")
		f.setUnreachable(second, true)
		f.setUnreachable(first, false)
		time.Sleep(2100 * time.Millisecond)
		// The second run succeeds too, before its worker's lease expires.
		f.workers.mu.Lock()
		f.workers.advance(second)
		f.workers.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.workers.durationOf = func(workload.TaskID, int) time.Duration { return 3 * time.Second }
		f.setUnreachable(second, false)
		time.Sleep(time.Second)
		f.machine.Read(func(v *workstate.View) {
			if done := v.Job(jobA).Occurrences[0].Steps[0].Done; done != 1 {
				t.Errorf("%d tasks of 1 are done", done)
			}
		})
		f.await(jobA, workstate.Succeeded, 10*time.Second)
	})
}

// TestSuccessOfAGangReportedWhileItsInterruptionCommitsIsNotStartedAgain guards against a second run of a gang whose success was passed over and acknowledged.
func TestSuccessOfAGangReportedWhileItsInterruptionCommitsIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gang := step(1)
		gang.Gang = true
		f, w := leadWithRun(t, gang)
		defer f.depose()
		f.reportDuringCommit(w)
	})
}

// slowProgress commits the progress of runs later than what is proposed with it.
type slowProgress struct {
	*fakeReplica
	delay time.Duration
}

func (s *slowProgress) Propose(ctx context.Context, command []byte) ([]byte, error) {
	var c workstate.Command
	if err := cbor.Unmarshal(command, &c); err == nil && c.Progress != nil {
		time.Sleep(s.delay)
	}
	return s.fakeReplica.Propose(ctx, command)
}

// TestSuccessOfALostWorkerCountsAlthoughItsRunsWereInterruptedTwice guards against a second run of a task whose success was passed over and acknowledged: the deregistration of its worker and the leader both ended its run.
func TestSuccessOfALostWorkerCountsAlthoughItsRunsWereInterruptedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2*time.Second)
		f.addWorker("w1", 1000)
		f.lead()
		defer f.depose()
		slow := &slowProgress{fakeReplica: f.replica, delay: 20 * time.Millisecond}
		f.loop.post(func(l *loop) { l.Replica = slow })
		time.Sleep(time.Second)
		// The worker restarts under its id, so that its lease may last for longer
		// than a silent worker stays registered.
		f.workers.mu.Lock()
		w := f.workers.add("w1", 1000)
		f.workers.mu.Unlock()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		f.awaitRunOn("w1")
		f.cutWhileRunsEnd(w, 2100*time.Millisecond, false)
		for registered := true; registered; time.Sleep(time.Millisecond) {
			f.machine.Read(func(v *workstate.View) { registered = v.Workers()["w1"] != nil })
		}
		time.Sleep(100 * time.Millisecond)
		f.setUnreachable(w, false)
		f.register(w, "vm-w1", "svc")
		f.await(jobA, workstate.Succeeded, time.Second)
		if f.workers.starts != 1 {
			t.Errorf("%d starts of a task whose first run succeeded", f.workers.starts)
		}
	})
}
