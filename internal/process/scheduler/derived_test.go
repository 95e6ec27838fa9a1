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
