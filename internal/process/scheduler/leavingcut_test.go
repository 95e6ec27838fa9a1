package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// TestTaskOfALeavingWorkerBehindARefusingCutRunsOnce guards against a second run of a task while a leaving worker, whose connections a cut refuses, still executes the first.
func TestTaskOfALeavingWorkerBehindARefusingCutRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		// The answer does not matter: without one the worker ends some seconds later.
		_, _ = f.leadingServer().Deregister(ctx, workcall.DeregisterRequest{ID: leaving.id, Incarnation: leaving.incarnation})
		f.await(jobA, workstate.Succeeded, 12*time.Second)
	})
}
