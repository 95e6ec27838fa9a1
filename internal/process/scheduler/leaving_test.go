package scheduler

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workerlease"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// leadingServer returns the server of the fixture's leader.
func (f *fixture) leadingServer() *Server {
	return &Server{
		replica: f.replica, machine: f.machine, log: slog.New(slog.DiscardHandler), onHeartbeats: func([]workcall.HeardHeartbeat) {}, now: time.Now,
		wake: func() { f.loop.post(func(l *loop) { l.dirty = true }) },
	}
}

// TestTaskOfAWorkerThatHasLeftDoesNotWaitForItsLease guards against seconds without a long-running task whose worker ended with its announcement.
func TestTaskOfAWorkerThatHasLeftDoesNotWaitForItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		leaving := f.addWorker("w1", 8000)
		f.vms.vms["vm-w1"] = &execution.VM{ID: "vm-w1", Pool: "svc", State: execution.VMUp, Worker: "w1"}
		f.lead()
		defer f.depose()
		f.submit(jobA, step(1))
		time.Sleep(500 * time.Millisecond)
		f.addWorker("w2", 8000)
		f.workers.mu.Lock()
		f.workers.crash(leaving)
		leaving.refusesConnections = true
		f.workers.mu.Unlock()
		f.vms.mu.Lock()
		f.vms.vms["vm-w1"].State = execution.VMDown
		f.vms.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := f.leadingServer().Deregister(ctx, workcall.DeregisterRequest{ID: leaving.id, Incarnation: leaving.incarnation}); err != nil {
			t.Errorf("the worker may not leave: %v", err)
		}
		f.await(jobA, workstate.Succeeded, 1500*time.Millisecond)
	})
}

// TestTaskOfAWorkerThatMissesTheAnswerToItsDeregistrationRunsOnce guards against a second run of a task while a worker that says it ends still executes the first.
func TestTaskOfAWorkerThatMissesTheAnswerToItsDeregistrationRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3*time.Second)
		leaving := f.addWorker("w1", 8000)
		f.lead()
		defer f.depose()
		f.submit(jobA, step(2))
		time.Sleep(500 * time.Millisecond)
		f.addWorker("w2", 8000)
		time.Sleep(500 * time.Millisecond)
		// The worker works on: the answer does not reach it.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.leadingServer().Deregister(ctx, workcall.DeregisterRequest{ID: leaving.id, Incarnation: leaving.incarnation})
		if err != nil {
			t.Errorf("the worker may not leave: %v", err)
		}
		f.await(jobA, workstate.Succeeded, 8*time.Second)
	})
}

// TestTaskOfALeavingWorkerBehindACutThatRefusesConnectionsRunsOnce guards against a second run of a task while its worker, which is out of reach, waits for the answer to its deregistration or misses it.
func TestTaskOfALeavingWorkerBehindACutThatRefusesConnectionsRunsOnce(t *testing.T) {
	for name, answered := range map[string]time.Duration{"answered": 6 * time.Second, "unanswered": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { deregisterBehindCut(t, answered) })
		})
	}
}

// deregisterBehindCut deregisters a worker that executes tasks and refuses connections,
// and waits for the answer up to a limit.
func deregisterBehindCut(t *testing.T, limit time.Duration) {
	f := newFixture(t, 3*time.Second)
	leaving := f.addWorker("w1", 8000)
	f.lead()
	defer f.depose()
	f.submit(jobA, step(2))
	time.Sleep(500 * time.Millisecond)
	f.addWorker("w2", 8000)
	time.Sleep(500 * time.Millisecond)
	f.workers.mu.Lock()
	leaving.refusesConnections = true
	f.workers.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	_, err := f.leadingServer().Deregister(ctx, workcall.DeregisterRequest{ID: leaving.id, Incarnation: leaving.incarnation})
	if err != nil && limit > workerlease.Duration {
		t.Errorf("the worker may not leave: %v", err)
	}
	f.await(jobA, workstate.Succeeded, 12*time.Second)
}

// TestLeavingWorkerThatAnswersAgainHasNotEnded guards against a second run of a task because of a list of VMs that the worker's later answer contradicts.
func TestLeavingWorkerThatAnswersAgainHasNotEnded(t *testing.T) {
	l := newLoop(t.Context(), Options{Log: slog.New(slog.DiscardHandler)}, 1)
	w := &worker{reg: workstate.Worker{ID: "w1", VM: "vm-w1", Incarnation: 5, Leaving: true}, contacted: true, unresponsive: true}
	l.workerList = []*worker{w}
	l.recordLeft(execution.VM{ID: "vm-w1", State: execution.VMDown}, time.Now())
	if !w.left() {
		t.Fatal("the list has no effect")
	}
	l.handleReport(w, time.Now(), execution.Report{Incarnation: 5, ClockMS: 1}, nil)
	if w.left() {
		t.Error("the worker counts as ended although it answers")
	}
}

// TestLongRunningTaskLeavesADrainingWorker guards against a long-running task that stays until its worker ends and is then missing.
func TestLongRunningTaskLeavesADrainingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Hour)
		w1 := f.addWorker("w1", 8000)
		f.lead()
		defer f.depose()
		lasting := step(1)
		lasting.LongRunning = true
		f.submit(jobA, lasting)
		time.Sleep(time.Second)
		w2 := f.addWorker("w2", 8000)
		time.Sleep(time.Second)
		f.announceDrain(w1, "vm-w1")
		time.Sleep(time.Second)
		f.workers.mu.Lock()
		defer f.workers.mu.Unlock()
		if len(w1.running) != 0 || len(w2.running) != 1 {
			t.Errorf("%d tasks on the draining worker, %d on the other", len(w1.running), len(w2.running))
		}
	})
}
