package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// TestCrashesAfterRefusedMaintenanceCount guards against a deadly task that is started again and again: the crash of a worker whose maintenance was ordered, and refused, counted as an end by order.
func TestCrashesAfterRefusedMaintenanceCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 10
		f := newCrashFixture(t, 800*time.Millisecond, vms)
		var names []string
		for i := range vms {
			id := fmt.Sprint("vm-w", i)
			names = append(names, id)
			f.fixture.vms.vms[id] = &execution.VM{ID: id, Pool: "svc", State: execution.VMUp}
		}
		f.fixture.vms.refusal = execution.VMOverloaded
		deadly := f.makeDeadly(jobA)
		f.lead()
		defer f.finish()
		time.Sleep(6 * time.Second)
		f.commit(&workstate.Command{Wave: &workstate.Wave{Number: 1, VMs: names, Cap: vms, DeadlineMS: time.Now().Add(5 * time.Minute).UnixMilli()}})
		time.Sleep(2 * time.Second)
		f.submit(jobA, step(1))
		time.Sleep(40 * time.Second)
		f.checkDeadlyStarts(deadly)
	})
}
