package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestCutZoneHoldsUpOnlyTheJobsInIt guards against jobs that are spread over all zones, so that the loss of any zone makes all of them late.
func TestCutZoneHoldsUpOnlyTheJobsInIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const zones, perZone = 3, 2
		f := newFixture(t, 2*time.Second)
		byZone := map[int][]*fakeWorker{}
		for i := range zones * perZone {
			w := f.workers.add(fmt.Sprint("w", i), 4000)
			reg := f.heartbeat(w, fmt.Sprint("vm-w", i), "svc")
			reg.Zone = fmt.Sprint("z", i%zones)
			f.commit(&workstate.Command{Register: reg})
			byZone[i%zones] = append(byZone[i%zones], w)
		}
		f.lead()
		defer time.Sleep(time.Second)
		defer f.depose()
		time.Sleep(time.Second)
		// The jobs fill all workers.
		for i := range zones {
			f.submit(jobName(i), workload.Step{Count: 4, Estimate: 2 * time.Second, DisruptionBudget: -1, Need: workload.Resources{MilliCPU: 2000}})
		}
		time.Sleep(500 * time.Millisecond)
		for _, w := range byZone[0] {
			f.setUnreachable(w, true)
		}
		time.Sleep(2 * time.Second)
		succeeded := 0
		for i := range zones {
			if f.outcome(jobName(i)) == workstate.Succeeded {
				succeeded++
			}
		}
		if succeeded != zones-1 {
			t.Errorf("%d of %d jobs succeeded in time, expected all but the one in the cut zone", succeeded, zones)
		}
		for _, w := range byZone[0] {
			f.setUnreachable(w, false)
		}
		for i := range zones {
			f.await(jobName(i), workstate.Succeeded, 15*time.Second)
		}
	})
}
