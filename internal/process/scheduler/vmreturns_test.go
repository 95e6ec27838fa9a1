package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
)

// TestVMTakesTasksAsSoonAsItsWorkerAnswers guards against room that stays unused until the next list of VMs: tasks waited for it though the worker was there.
func TestVMTakesTasksAsSoonAsItsWorkerAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shortest = 2 * time.Second
		for down := shortest; down < shortest+listIntervalBusy; down += 100 * time.Millisecond {
			f := newFixture(t, 100*time.Millisecond)
			f.replaceWorkers(down)
			f.addVM("w0", "svc")
			f.lead()
			time.Sleep(6 * time.Second)
			f.startWave(1, []string{"vm-w0"}, 1, 20*time.Second)
			for f.settled(1) == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			f.submit(jobA, step(1))
			accepted := time.Now()
			f.await(jobA, workstate.Succeeded, 5*time.Second)
			if took := time.Since(accepted); took > down+500*time.Millisecond {
				t.Errorf("a task of 0.1 s took %s, its VM was down for %s", took, down)
			}
			f.depose()
		}
	})
}
