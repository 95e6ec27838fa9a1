package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workerlease"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// step returns a step whose tasks need one core each.
func step(count int, after ...int) workload.Step {
	return workload.Step{Count: count, Need: workload.Resources{MilliCPU: 1000}, DependsOn: after, DisruptionBudget: -1}
}

const jobA = "aaaaaaaaaaaaaaaa"

func TestJobOfTwoStepsSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 100*time.Millisecond)
		f.addWorker("w1", 4000)
		f.addWorker("w2", 4000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.submit(jobA, step(6), step(3, 0))
		f.await(jobA, workstate.Succeeded, time.Second)
	})
}

func TestWorkerIsNotWatchedWhileItsEndWaitsForACommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2*time.Second)
		f.addWorker("w1", 1000)
		second := f.addWorker("w2", 1000)
		f.replica.delay = 100 * time.Millisecond
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		time.Sleep(20 * time.Millisecond)
		f.submit("bbbbbbbbbbbbbbbb", step(1))
		time.Sleep(1900 * time.Millisecond)
		before := second.watchCalls
		f.await("bbbbbbbbbbbbbbbb", workstate.Succeeded, time.Second)
		if watched := second.watchCalls - before; watched > 3 {
			t.Errorf("the worker was watched %d times while its end waited for a commit", watched)
		}
	})
}

func TestTaskRunsOnceWhenStartAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 300*time.Millisecond)
		f.addWorker("w1", 4000).loseStarts = 2
		f.addWorker("w2", 4000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.submit(jobA, step(6))
		f.await(jobA, workstate.Succeeded, 3*time.Second)
		if f.workers.starts != 6 {
			t.Errorf("%d starts of 6 tasks", f.workers.starts)
		}
	})
}

func TestTasksOfUnresponsiveWorkerRestartAfterItsLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 8*time.Second)
		w1 := f.addWorker("w1", 4000)
		f.leadWithJob(step(4))
		defer f.depose()
		f.addWorker("w2", 4000)
		w1.unreachable = true
		f.await(jobA, workstate.Succeeded, workerlease.Duration+10*time.Second)
		if f.workers.starts != 8 {
			t.Errorf("%d starts, expected 4 on each worker", f.workers.starts)
		}
	})
}

func TestNewLeaderDoesNotRestartRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3*time.Second)
		f.addWorker("w1", 4000)
		f.lead()
		time.Sleep(time.Second)
		f.submit(jobA, step(4))
		time.Sleep(500 * time.Millisecond)
		f.depose()
		time.Sleep(time.Second)
		f.lead()
		defer f.depose()
		f.await(jobA, workstate.Succeeded, 3*time.Second)
		if f.workers.starts != 4 {
			t.Errorf("%d starts of 4 tasks", f.workers.starts)
		}
	})
}

func TestNewLeaderSendsStartsThatTheFormerOnlyRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 300*time.Millisecond)
		w := f.addWorker("w1", 4000)
		f.submit(jobA, step(1))
		f.commit(&workstate.Command{Progress: &workstate.Progress{Starts: []workstate.Start{{Task: workload.TaskID{Job: jobA}, Run: 1, Worker: "w1", Incarnation: w.incarnation}}}})
		f.lead()
		defer f.depose()
		f.await(jobA, workstate.Succeeded, 2*time.Second)
	})
}

func TestTasksOfRestartedWorkerAreStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		w := f.addWorker("w1", 4000)
		f.leadWithJob(step(4))
		defer f.depose()
		f.workers.mu.Lock()
		f.workers.add("w1", w.capacity.MilliCPU)
		f.workers.mu.Unlock()
		f.await(jobA, workstate.Succeeded, 4*time.Second)
		if f.workers.starts != 8 {
			t.Errorf("%d starts, expected 4 in each incarnation", f.workers.starts)
		}
	})
}

func TestCancelledJobIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		w := f.addWorker("w1", 4000)
		f.leadWithJob(step(4))
		defer f.depose()
		f.commit(&workstate.Command{Cancel: &workstate.Cancel{ID: jobA}})
		time.Sleep(500 * time.Millisecond)
		if len(w.running) > 0 {
			t.Errorf("%d tasks execute after the cancel", len(w.running))
		}
	})
}

func TestTaskThatAlwaysFailsFailsItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 100*time.Millisecond)
		f.addWorker("w1", 4000).failAll = true
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		f.await(jobA, workstate.Failed, 3*time.Second)
		if f.workers.starts != 2 {
			t.Errorf("%d starts, the queue allows 2 attempts", f.workers.starts)
		}
	})
}

func TestManyJobsShareTheWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		for i := range 4 {
			f.addWorker(fmt.Sprint("w", i), 8000)
		}
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		for i := range 40 {
			f.submit(fmt.Sprintf("%016x", i), step(4), step(2, 0))
		}
		for i := range 40 {
			f.await(fmt.Sprintf("%016x", i), workstate.Succeeded, 10*time.Second)
		}
	})
}

func TestStalledTasksRestartOnAnotherWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 500*time.Millisecond)
		f.addWorker("w1", 4000).hangAll = true
		f.addWorker("w2", 4000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		for i := range 4 {
			f.submit(fmt.Sprintf("%016x", i), step(2))
		}
		for i := range 4 {
			f.await(fmt.Sprintf("%016x", i), workstate.Succeeded, 6*time.Second)
		}
	})
}

func TestWorkerThatFailsEveryTaskGetsFewTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		f.addWorker("w1", 8000).failAll = true
		f.addWorker("w2", 8000)
		f.addWorker("w3", 8000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		lost := 0
		for i := range 30 {
			f.submit(fmt.Sprintf("%016x", i), step(4))
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		for i := range 30 {
			if f.outcome(fmt.Sprintf("%016x", i)) != workstate.Succeeded {
				lost++
			}
		}
		if lost > 5 {
			t.Errorf("%d of 30 jobs did not succeed although only one worker fails every task", lost)
		}
	})
}

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		f.addWorker("w1", 8000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		spec := workload.Spec{Steps: []workload.Step{step(2)}, Repeat: 3, FirstDueMS: time.Now().Add(2 * time.Second).UnixMilli(), Interval: 2 * time.Second}
		f.commit(&workstate.Command{Submit: &workstate.Submit{ID: jobA, Host: "host", Path: "/q/" + jobA, Spec: spec}})
		for due := range 3 {
			time.Sleep(1900 * time.Millisecond)
			if f.workers.starts != 2*due {
				t.Errorf("%d starts before occurrence %d is due", f.workers.starts, due)
			}
			time.Sleep(100 * time.Millisecond)
		}
		f.await(jobA, workstate.Succeeded, 2*time.Second)
	})
}

func TestJobsArePurgedAfterTheirRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 100*time.Millisecond)
		f.addWorker("w1", 8000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.submit(jobA, step(2))
		f.await(jobA, workstate.Succeeded, time.Second)
		time.Sleep(f.limits.Retention)
		known := false
		f.machine.Read(func(v *workstate.View) { known = v.Job(jobA) != nil })
		if !known {
			t.Error("a job was purged before its retention")
		}
		time.Sleep(2 * f.limits.Retention)
		f.machine.Read(func(v *workstate.View) { known = v.Job(jobA) != nil })
		if known {
			t.Error("a job was not purged")
		}
	})
}
