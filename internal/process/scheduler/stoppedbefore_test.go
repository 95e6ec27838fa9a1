package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestStopThatTheFormerIncarnationAcceptedIsOrderedAgain guards against a cancelled task that runs on: the next incarnation executes a late copy of its start, and only the former one was told to stop it.
func TestStopThatTheFormerIncarnationAcceptedIsOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Hour)
		first := f.addWorker("w1", 1000)
		first.stopTime = 200 * time.Millisecond
		calls := &lateStart{fakeWorkers: f.workers, delay: 2500 * time.Millisecond}
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(time.Minute)
		f.submit(jobA, step(1))
		time.Sleep(1500 * time.Millisecond)
		task := workload.TaskID{Job: jobA}
		if !first.executes(f.workers, task) {
			t.Fatal("the repeated start was not executed")
		}
		f.commit(&workstate.Command{Cancel: &workstate.Cancel{ID: jobA, Host: "host", Path: "/q/" + jobA}})
		time.Sleep(100 * time.Millisecond)
		calls.silent.Store(true)
		f.workers.mu.Lock()
		second := f.workers.add("w1", 1000)
		f.workers.mu.Unlock()
		time.Sleep(time.Second)
		if !second.executes(f.workers, task) {
			t.Fatal("the late start was not executed")
		}
		calls.silent.Store(false)
		f.register(second, "vm-w1", "svc")
		time.Sleep(cancelBound)
		if second.executes(f.workers, task) {
			t.Error("the task of a cancelled job executes")
		}
	})
}
