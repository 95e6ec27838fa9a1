package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestGangIsDoneAlthoughTheWorkerOfAMemberWasReplacedBeforeAnotherReports guards against a job that never ends: one end as done represents all tasks of the gang.
func TestGangIsDoneAlthoughTheWorkerOfAMemberWasReplacedBeforeAnotherReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2*time.Second)
		first := f.addWorker("w1", 1000)
		f.addWorker("w2", 1000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.submit(jobA, workload.Step{Count: 2, Need: workload.Resources{MilliCPU: 1000}, Gang: true, DisruptionBudget: -1})
		time.Sleep(time.Second)
		f.setUnreachable(first, true)
		second := f.workers.workers["w2"]
		f.setUnreachable(second, true)
		time.Sleep(1500 * time.Millisecond)
		// Both tasks are done. A new worker takes the VM of w2.
		f.workers.mu.Lock()
		f.workers.advance(first)
		f.workers.advance(second)
		delete(f.workers.workers, "w2")
		f.workers.mu.Unlock()
		f.register(f.workers.add("w3", 1000), "vm-w2", "svc")
		time.Sleep(200 * time.Millisecond)
		f.setUnreachable(first, false)
		f.await(jobA, workstate.Succeeded, 3*time.Second)
		if f.workers.starts != 2 {
			t.Errorf("%d starts of 2 tasks that were done together", f.workers.starts)
		}
	})
}

// setUnreachable sets whether a worker answers no calls.
func (f *fixture) setUnreachable(w *fakeWorker, unreachable bool) {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	w.unreachable = unreachable
}
