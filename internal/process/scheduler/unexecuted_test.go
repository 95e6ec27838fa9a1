package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// deafPlatform executes no orders and does not answer them.
type deafPlatform struct{ *fakePlatform }

func (p *deafPlatform) Move(ctx context.Context, _, _, _ string, _ uint64) (execution.VMRefusal, error) {
	<-ctx.Done()
	return execution.VMOverloaded, execution.ErrNoAnswer
}

// TestWorkerOfAVMWhoseMoveWasNotExecutedKeepsItsRuns guards against two runs of a task when a list leaves out the worker of a VM that has not moved.
func TestWorkerOfAVMWhoseMoveWasNotExecutedKeepsItsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 5*time.Second)
		f.vms.vms["vm-w1"] = &execution.VM{ID: "vm-w1", Pool: "svc", State: execution.VMUp}
		f.addWorker("w1", 1000)
		f.leadWithJob(step(1))
		defer f.depose()
		f.addWorker("w2", 1000)
		f.loop.post(func(l *loop) {
			l.Platform = &deafPlatform{f.vms}
			l.orderVM(l.fleet.entries["vm-w1"], vmOrder{pool: "spare"}, time.Now())
		})
		f.await(jobA, workstate.Succeeded, 10*time.Second)
	})
}

// TestVMInAStateThatIsNotKnownKeepsTheRunsOfItsWorker guards against two runs of a task when an entry of the list was written by another writer.
func TestVMInAStateThatIsNotKnownKeepsTheRunsOfItsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 5*time.Second)
		f.vms.vms["vm-w1"] = &execution.VM{ID: "vm-w1", Pool: "svc", State: execution.VMUp, Worker: "w1"}
		f.addWorker("w1", 1000)
		f.leadWithJob(step(1))
		defer f.depose()
		f.addWorker("w2", 1000)
		f.vms.mu.Lock()
		f.vms.vms["vm-w1"].State = "unlisted"
		f.vms.mu.Unlock()
		f.loop.post(func(l *loop) {
			l.Platform = &deafPlatform{f.vms}
			l.orderVM(l.fleet.entries["vm-w1"], vmOrder{pool: "spare"}, time.Now())
		})
		f.await(jobA, workstate.Succeeded, 10*time.Second)
	})
}
