package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// unlistedPlatform fails to list VMs.
type unlistedPlatform struct{ *fakePlatform }

func (p *unlistedPlatform) VMs(context.Context) ([]execution.VM, error) {
	return nil, execution.ErrNoAnswer
}

// TestWaveIsNotFinishedByALeaderThatHasNoList guards against VMs being abandoned as missing while the platform answers no list.
func TestWaveIsNotFinishedByALeaderThatHasNoList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.replaceWorkers(2 * time.Second)
		f.addVM("w1", "svc")
		f.commit(&workstate.Command{Wave: &workstate.Wave{Number: 1, VMs: []string{"vm-w1"}, Cap: 1, DeadlineMS: time.Now().Add(time.Second).UnixMilli()}})
		f.lead()
		defer f.depose()
		f.platform(&unlistedPlatform{f.vms})
		time.Sleep(15 * time.Second)
		f.machine.Read(func(v *workstate.View) {
			if v.Waves()[1].Finished() {
				t.Error("the wave is finished without the maintenance of its VM")
			}
		})
	})
}
