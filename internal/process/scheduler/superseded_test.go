package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestRestartedWorkerGetsNoOrdersForItsFormerIncarnation guards against a deadly run that is started again on the next incarnation of its worker, which counts as one crash.
func TestRestartedWorkerGetsNoOrdersForItsFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10*time.Second)
		f.replica.delay = 300 * time.Millisecond
		defer time.Sleep(time.Second)
		w := f.addWorker("w1", 4000)
		starts := map[int]int{}
		f.workers.durationOf = func(_ workload.TaskID, run int) time.Duration {
			starts[run]++
			return 10 * time.Second
		}
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		w.loseStarts = 1
		f.submit(jobA, step(1))
		for !w.executes(f.workers, workload.TaskID{Job: jobA}) {
			time.Sleep(time.Millisecond)
		}
		f.workers.mu.Lock()
		f.workers.crash(w)
		f.workers.add("w1", 4000)
		w.notifyChanged()
		f.workers.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.workers.mu.Lock()
		defer f.workers.mu.Unlock()
		for run, count := range starts {
			if count > 1 {
				t.Errorf("run %d was started %d times", run, count)
			}
		}
	})
}

func (w *fakeWorker) executes(f *fakeWorkers, task workload.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return w.running[task] != nil
}
