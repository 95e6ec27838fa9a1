package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestTaskOfSilentWorkersIsStartedElsewhere guards against a job that is given up without a crash: workers that fall silent after each start are emptied by that, and chosen again.
func TestTaskOfSilentWorkersIsStartedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const flapping, others, outage = 2, 3, 6 * time.Second
		f := newFixture(t, 2*time.Second)
		for i := range flapping {
			f.addWorker(fmt.Sprint("flapping", i), 2000)
		}
		f.workers.durationOf = func(task workload.TaskID, _ int) time.Duration {
			if task.Job != jobA {
				return 2 * time.Minute
			}
			for i := range flapping {
				go f.cutOff(f.workers.workers[fmt.Sprint("flapping", i)], task, outage)
			}
			return 2 * time.Second
		}
		time.Sleep(time.Second)
		for i := range others {
			f.addWorker(fmt.Sprint("w", i), 8000)
		}
		f.lead()
		defer time.Sleep(outage + time.Second)
		defer f.depose()
		time.Sleep(20 * time.Second)
		f.submit(jobName(0), workload.Step{Count: others, Estimate: time.Second, DisruptionBudget: -1, Need: workload.Resources{MilliCPU: 5000}})
		time.Sleep(time.Second)
		f.submit(jobA, workload.Step{Count: 1, Estimate: time.Second, DisruptionBudget: -1, Need: workload.Resources{MilliCPU: 2000}})
		f.await(jobA, workstate.Succeeded, time.Minute)
	})
}

// cutOff makes a worker unreachable for some time if it executes a task.
func (f *fixture) cutOff(w *fakeWorker, task workload.TaskID, duration time.Duration) {
	time.Sleep(crashDelay)
	if w.executes(f.workers, task) {
		f.workers.setUnreachable(w, true)
		time.Sleep(duration)
		f.workers.setUnreachable(w, false)
	}
}

func (f *fakeWorkers) setUnreachable(w *fakeWorker, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.unreachable = unreachable
}
