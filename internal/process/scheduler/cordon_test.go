package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// addVMOf adds a VM of a pool with a worker.
func (f *fixture) addVMOf(id, pool string) string {
	vm := "vm-" + id
	f.vms.vms[vm] = &execution.VM{ID: vm, Pool: pool, State: execution.VMUp, Worker: id}
	f.register(f.workers.add(id, 8000), vm, pool)
	return vm
}

// TestWaveWithTimeLeavesVMsToPoolsThatAreShort guards against a rise in load that meets VMs that are just being maintained, although their wave has time.
func TestWaveWithTimeLeavesVMsToPoolsThatAreShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deadline = 40 * time.Second
		f := newFixture(t, 3*time.Second)
		config := testCatalog()
		config.Version = 2
		config.Queues = append(config.Queues, catalog.Queue{Name: "o", Host: "host", PathPrefix: "/o/", Service: "other", Timeout: time.Second, MaxAttempts: 2, Stretch: 2, TargetLatency: time.Second})
		config.Services = append(config.Services, catalog.Service{Name: "other", EnforcesCapacity: true})
		f.commit(&workstate.Command{Catalog: config})
		f.replaceWorkers(2 * time.Second)
		var others []string
		for i := range 8 {
			others = append(others, f.addVMOf(fmt.Sprint("o", i), "other"))
		}
		for i := range 2 {
			f.addVMOf(fmt.Sprint("w", i), "svc")
		}
		f.lead()
		defer f.depose()
		time.Sleep(3 * time.Second)
		busy := workload.Spec{Payload: "p", Steps: []workload.Step{{Count: 2 * len(others), Need: workload.Resources{MilliCPU: 1000, MemoryMB: 1}, Estimate: 3 * time.Second}}}
		f.workers.submitted["bbbbbbbbbbbbbbbb"] = busy
		f.commit(&workstate.Command{Submit: &workstate.Submit{ID: "bbbbbbbbbbbbbbbb", Host: "host", Path: "/o/bbbbbbbbbbbbbbbb", Spec: busy}})
		time.Sleep(200 * time.Millisecond)
		f.submitAndNotify(jobA, workload.Step{Count: 300, Need: workload.Resources{MilliCPU: 1000, MemoryMB: 1}, Estimate: 3 * time.Second})
		time.Sleep(500 * time.Millisecond)
		f.startWave(1, others, len(others), deadline)
		time.Sleep(time.Second)
		f.vms.mu.Lock()
		if f.vms.maxDown > 0 {
			t.Errorf("%d VMs were maintained while a pool is short of VMs", f.vms.maxDown)
		}
		f.vms.mu.Unlock()
		time.Sleep(deadline + overdueTime)
		f.checkWavesEnded(1)
	})
}
