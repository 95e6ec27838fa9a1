package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
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

// TestStartIsNotSentOnceTheNextIncarnationIsRegistered guards against a start for a former incarnation that goes to the registered one between two rounds.
func TestStartIsNotSentOnceTheNextIncarnationIsRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.addWorker("w1", 1000)
		starts := map[int]int{}
		f.workers.durationOf = func(_ workload.TaskID, run int) time.Duration {
			starts[run]++
			return time.Second
		}
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		time.Sleep(100 * time.Millisecond)
		f.workers.mu.Lock()
		next := f.workers.add("w1", 1000)
		f.workers.mu.Unlock()
		f.loop.post(func(l *loop) {
			f.register(next, "vm-w1", "svc")
			task := workload.TaskID{Job: jobA}
			l.Machine.Read(func(v *workstate.View) { l.sendStart(v, task, l.runs.Get(task), time.Now()) })
		})
		f.await(jobA, workstate.Succeeded, 5*time.Second)
		f.workers.mu.Lock()
		defer f.workers.mu.Unlock()
		if starts[1] != 1 {
			t.Errorf("run 1 was started %d times", starts[1])
		}
	})
}
