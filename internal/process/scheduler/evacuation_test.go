package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestWaveOverABusyPoolWithALongRunningJobEndsInTime guards against long-running tasks, which may leave only one after the other, being moved when it is too late.
func TestWaveOverABusyPoolWithALongRunningJobEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, deadline = 24, 40 * time.Second
		f := newFixture(t, 2*time.Second)
		f.workers.longRunningJob = jobA
		f.workers.disruptions = &disruptionCheck{t: t, budget: 1, since: map[workload.TaskID]time.Time{}, ordered: map[workload.TaskID]bool{}}
		f.replaceWorkers(2 * time.Second)
		var names []string
		for i := range vms {
			id := fmt.Sprintf("w%02d", i)
			f.addVM(id, "svc")
			names = append(names, "vm-"+id)
		}
		f.lead()
		defer f.depose()
		time.Sleep(6 * time.Second)
		f.submit(jobA, workload.Step{Count: vms, Need: workload.Resources{MilliCPU: 1000}, LongRunning: true, DisruptionBudget: 1, MaxPerWorker: 2})
		// Short tasks keep the pool above busyUtilization.
		for i := range int(deadline / time.Second) {
			if i == 3 {
				f.commit(&workstate.Command{Wave: &workstate.Wave{Number: 1, VMs: names, Cap: vms, DeadlineMS: time.Now().Add(deadline).UnixMilli()}})
			}
			f.submit(fmt.Sprintf("%016x", i+1), step(vms*3))
			time.Sleep(time.Second)
		}
		time.Sleep(3 * time.Second)
		f.machine.Read(func(v *workstate.View) {
			if settled := len(v.Waves()[1].Settled); settled < vms {
				t.Errorf("maintenance of %d of %d VMs has settled", settled, vms)
			}
		})
		time.Sleep(10 * time.Second)
	})
}
