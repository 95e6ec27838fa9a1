package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestSuspectWaitsForNoLongRunningTask guards against a worker that is reserved for good, while the suspect waits, because a long-running task keeps its capacity.
func TestSuspectWaitsForNoLongRunningTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const longRunning, backlog = "cccccccccccccccc", 100
		f := newFixture(t, 400*time.Millisecond)
		f.workers.durationOf = func(task workload.TaskID, _ int) time.Duration {
			if task.Job == longRunning {
				return time.Hour
			}
			return 400 * time.Millisecond
		}
		f.addWorker("w0", 4000)
		f.lead()
		f.submit(longRunning, workload.Step{Count: 1, LongRunning: true, Estimate: time.Second, DisruptionBudget: -1, Need: workload.Resources{MilliCPU: 3000}})
		time.Sleep(time.Second)
		f.addWorker("w1", 4000)
		time.Sleep(time.Second)
		for i := range backlog {
			f.submit(jobName(i), workload.Step{Count: 1, Estimate: time.Second, DisruptionBudget: -1, Need: workload.Resources{MilliCPU: 2000}})
		}
		time.Sleep(time.Second)
		f.depose()
		f.submit(jobA, workload.Step{Count: 1, Estimate: time.Second, DisruptionBudget: -1, Need: workload.Resources{MilliCPU: 2000}})
		f.recordCrash(workload.TaskID{Job: jobA}, "w1")
		f.lead()
		defer time.Sleep(time.Second)
		defer f.depose()
		f.await(jobA, workstate.Succeeded, 8*time.Second)
	})
}

// recordCrash records a crash under the first run of a task.
func (f *fixture) recordCrash(task workload.TaskID, worker string) {
	f.t.Helper()
	start := workstate.Start{Task: task, Run: 1, Worker: worker, Incarnation: f.workers.workers[worker].incarnation}
	end := workstate.End{Task: task, Run: 1, Kind: workstate.EndCrashed}
	f.commit(&workstate.Command{Progress: &workstate.Progress{Starts: []workstate.Start{start}}})
	f.commit(&workstate.Command{Progress: &workstate.Progress{Ends: []workstate.End{end}}})
	var crashes int
	f.machine.Read(func(v *workstate.View) { crashes = v.Job(task.Job).Task(task).Crashes })
	if crashes != 1 {
		f.t.Fatalf("%d crashes recorded", crashes)
	}
}
