package scheduler

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestRunThatWasNeverOrderedIsNotBlamed guards against a job that is given up for crashes of workers that have not started its task.
func TestRunThatWasNeverOrderedIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		former := f.addWorker("w1", 4000)
		f.submit(jobA, step(1))
		start := workstate.Start{Task: workload.TaskID{Job: jobA}, Run: 1, Worker: "w1", Incarnation: former.incarnation, Term: 1}
		f.commit(&workstate.Command{Progress: &workstate.Progress{Starts: []workstate.Start{start}}})
		l := newLoop(t.Context(), Options{Replica: f.replica, Machine: f.machine, Workers: f.workers, Limits: f.limits, Log: slog.New(slog.DiscardHandler), Now: time.Now}, 1)
		f.machine.Read(l.syncWorkers)
		time.Sleep(time.Second)
		successor := f.workers.add("w2", 4000)
		f.register(successor, "vm-w1", "svc")
		f.machine.Read(func(v *workstate.View) {
			l.startRun(v, &start)
			l.findCrashes(v, time.Now())
		})
		if blame := l.runs[start.Task].blame; blame != nil {
			t.Errorf("blamed for %+v", blame)
		}
	})
}

// TestFailedRunEndsTheSuspicion guards against a job that is given up for crashes before and after a run that its worker has reported as failed.
func TestFailedRunEndsTheSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 100*time.Millisecond)
		f.addWorker("w1", 4000)
		f.submit(jobA, step(1))
		task := workload.TaskID{Job: jobA}
		f.recordCrash(task, "w1")
		f.workers.fails = func(_ workload.TaskID, run int) bool { return run == 2 }
		f.workers.durationOf = func(_ workload.TaskID, run int) time.Duration {
			if run == 2 {
				return 100 * time.Millisecond
			}
			return 2 * time.Second
		}
		f.lead()
		defer time.Sleep(time.Second)
		defer f.depose()
		time.Sleep(time.Second)
		f.machine.Read(func(v *workstate.View) {
			if progress := v.Job(jobA).Task(task); progress.Failures != 1 || progress.Crashes != 0 {
				t.Errorf("%d failures, %d crashes", progress.Failures, progress.Crashes)
			}
		})
	})
}

// TestOldRunOfAFormerLeaderIsNotTakenForAStartingOne guards against a job that is given up for a crash long after the start of a run that its leader has inherited, and two without guilt.
func TestOldRunOfAFormerLeaderIsNotTakenForAStartingOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, 4*time.Second, 4)
		f.lead()
		defer func() { f.finish() }()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		time.Sleep(2 * time.Second)
		f.depose()
		f.crashWorker(f.workerOf(jobA))
		f.lead()
		for range 2 {
			f.crashNextRun(jobA)
		}
		f.await(jobA, workstate.Succeeded, 20*time.Second)
	})
}
