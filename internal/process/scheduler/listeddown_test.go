package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestTaskOnAVMListedAsDownIsNotTakenForAvailable guards against an exceeded disruption budget after a former leader's last order.
func TestTaskOnAVMListedAsDownIsNotTakenForAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Hour)
		f.replaceWorkers(time.Minute)
		f.addVM("w1", "svc")
		f.addVM("w2", "svc")
		f.lead()
		defer f.depose()
		time.Sleep(6 * time.Second)
		f.submit(jobA, workload.Step{Count: 2, Need: workload.Resources{MilliCPU: 1000}, LongRunning: true, DisruptionBudget: 1, MaxPerWorker: 1})
		time.Sleep(time.Second)
		f.vms.mu.Lock()
		f.vms.vms["vm-w1"].State = execution.VMMaintenance
		f.vms.mu.Unlock()
		time.Sleep(listInterval)
		f.commit(&workstate.Command{Wave: &workstate.Wave{Number: 2, VMs: []string{"vm-w2"}, Cap: 1, DeadlineMS: time.Now().Add(time.Second).UnixMilli()}})
		time.Sleep(3 * time.Second)
		f.workers.mu.Lock()
		defer f.workers.mu.Unlock()
		if len(f.workers.workers["w2"].running) != 1 {
			t.Error("a task was stopped while the other one is away")
		}
	})
}
