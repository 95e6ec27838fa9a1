package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestNextLeaderWaitsForNoStrayLeaseOfARestartLongAgo guards against a task that waits 25 s under a new leader for late calls to an incarnation that has ended an hour before, where 6 s are enough.
func TestNextLeaderWaitsForNoStrayLeaseOfARestartLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Hour)
		f.addWorker("w1", 1000)
		f.lead()
		defer func() { f.depose() }()
		time.Sleep(time.Second)
		second := f.addWorker("w1", 1000)
		time.Sleep(time.Hour)
		f.submit(jobA, step(1))
		time.Sleep(500 * time.Millisecond)
		if !second.executes(f.workers, workload.TaskID{Job: jobA}) {
			t.Fatal("the task was not started")
		}
		f.register(second, "vm-w1", "svc")
		f.setUnreachable(second, true)
		f.depose()
		f.lead()
		f.addWorker("w2", 1000)
		time.Sleep(9 * time.Second)
		if !f.workers.workers["w2"].executes(f.workers, workload.TaskID{Job: jobA}) {
			t.Error("the task was not started again 9 s after the leader changed")
		}
	})
}
