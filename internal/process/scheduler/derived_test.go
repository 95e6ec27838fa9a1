package scheduler

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// newIdleLoop returns the loop of a leader of the fixture's state that is not run.
func newIdleLoop(f *fixture) *loop {
	return newLoop(context.Background(), Options{
		Replica: f.replica, Machine: f.machine, Workers: f.workers, Platform: f.vms, Limits: f.limits, Log: slog.New(slog.DiscardHandler), Now: time.Now,
	}, f.replica.term)
}

// TestRunFirstSeenAfterItsEndWasQueuedTakesNoCapacity guards against orders for, and capacity taken by, a run whose end is about to be committed.
func TestRunFirstSeenAfterItsEndWasQueuedTakesNoCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		w := f.addWorker("w1", 8000)
		f.submit("aaaaaaaaaaaaaaaa", step(1))
		task := workload.TaskID{Job: "aaaaaaaaaaaaaaaa"}
		f.commit(&workstate.Command{Progress: &workstate.Progress{Starts: []workstate.Start{{Task: task, Run: 1, Worker: "w1", Incarnation: w.incarnation}}}})
		l := newIdleLoop(f)
		l.queueEnd(task, 1, workstate.EndDone, "")
		f.machine.Read(func(v *workstate.View) {
			l.syncWorkers(v)
			if u := l.reconcile(v, capacityInUse, time.Now()); u.usedOn(l.workers["w1"]) != (workload.Resources{}) {
				t.Error("the run takes capacity")
			}
		})
		l.checkDerived(t)
	})
}

// TestCatalogChangesWhetherAWorkerEnforcesItsCapacity guards against starts that exceed a worker's capacity after its service has stopped enforcing it.
func TestCatalogChangesWhetherAWorkerEnforcesItsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.addWorker("w1", 8000)
		l := newIdleLoop(f)
		enforces := func() (enforces bool) {
			f.machine.Read(func(v *workstate.View) { l.syncWorkers(v) })
			return l.workers["w1"].enforcesCapacity
		}
		if !enforces() {
			t.Error("not enforced at first")
		}
		f.stopEnforcingCapacity()
		if enforces() {
			t.Error("still enforced after the change")
		}
	})
}

// TestEndOfAGangMarksTheRunsOfItsOtherTasks guards against orders for, and capacity taken by, the tasks of a gang that is about to be recorded as done.
func TestEndOfAGangMarksTheRunsOfItsOtherTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		w := f.addWorker("w1", 8000)
		gang := step(2)
		gang.Gang = true
		f.submit(jobA, gang)
		var starts []workstate.Start
		for i := range 2 {
			starts = append(starts, workstate.Start{Task: workload.TaskID{Job: jobA, Index: i}, Run: 1, Worker: "w1", Incarnation: w.incarnation})
		}
		f.commit(&workstate.Command{Progress: &workstate.Progress{Starts: starts}})
		l := newIdleLoop(f)
		f.machine.Read(func(v *workstate.View) {
			l.syncWorkers(v)
			l.reconcile(v, capacityInUse, time.Now())
			l.endGang(v.Job(jobA), runKey{starts[0].Task, 1})
			l.checkDerived(t)
			if u := l.reconcile(v, capacityInUse, time.Now()); u.usedOn(l.workers["w1"]) != (workload.Resources{}) {
				t.Error("the runs take capacity")
			}
		})
	})
}

// TestRackOfAWorkerFollowsItsLabels guards against placement by a rack that is unknown or that of an earlier registration.
func TestRackOfAWorkerFollowsItsLabels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		w := f.addWorker("w1", 8000)
		l := newIdleLoop(f)
		for _, rack := range []string{"r1", "r2"} {
			heartbeat := f.heartbeat(w, "vm-w1", "svc")
			heartbeat.Labels = []string{rack}
			f.commit(&workstate.Command{Register: heartbeat})
			f.machine.Read(l.syncWorkers)
			l.workers["w1"].contacted, l.workers["w1"].answeredAt = true, time.Now()
			workers := l.schedulableWorkers(&usage{}, time.Now().Add(time.Millisecond))
			if len(workers) != 1 || workers[0].Rack != rack {
				t.Errorf("rack of %d workers is not %s", len(workers), rack)
			}
		}
	})
}
