package scheduler

import (
	"context"
	"sync/atomic"
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

// commitWave requests the maintenance of VMs with a cap of 1.
func (f *fixture) commitWave(vms ...string) {
	f.commit(&workstate.Command{Wave: &workstate.Wave{Number: 1, VMs: vms, Cap: 1, DeadlineMS: time.Now().Add(60 * time.Second).UnixMilli()}})
}

// checkOneDown reports an error if the wave has not finished or exceeded its cap of 1.
func (f *fixture) checkOneDown() {
	f.machine.Read(func(v *workstate.View) {
		if !v.Waves()[1].Finished() {
			f.t.Errorf("the wave has not finished: %v", v.Waves()[1].Settled)
		}
	})
	f.vms.mu.Lock()
	defer f.vms.mu.Unlock()
	if f.vms.maxDown > 1 {
		f.t.Errorf("%d VMs were down at once, the cap is 1", f.vms.maxDown)
	}
}

// omittingPlatform leaves a VM out of its lists for a while.
type omittingPlatform struct {
	execution.Platform
	omits atomic.Pointer[string]
}

func (p *omittingPlatform) VMs(ctx context.Context) ([]execution.VM, error) {
	vms, err := p.Platform.VMs(ctx)
	var listed []execution.VM
	for _, vm := range vms {
		if omitted := p.omits.Load(); omitted == nil || vm.ID != *omitted {
			listed = append(listed, vm)
		}
	}
	return listed, err
}

// omit leaves a VM out of the lists for some time.
func (p *omittingPlatform) omit(vm string, duration time.Duration) {
	p.omits.Store(&vm)
	time.Sleep(duration)
	p.omits.Store(nil)
}

// TestOrderOfAVMMissingFromAListDoesNotExceedTheCap guards against an unanswered order being forgotten with a VM that a list leaves out.
func TestOrderOfAVMMissingFromAListDoesNotExceedTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		p := &omittingPlatform{Platform: &latePlatform{fakePlatform: f.vms, delay: 2 * time.Second}}
		f.leadVMs(p, "w1", "w2")
		defer f.depose()
		f.commitWave("vm-w1", "vm-w2")
		time.Sleep(300 * time.Millisecond)
		p.omit("vm-w1", time.Second)
		time.Sleep(15 * time.Second)
		f.checkOneDown()
	})
}

// TestVMInMaintenanceMissingFromAListDoesNotExceedTheCap guards against a VM that is down being forgotten when a list leaves it out.
func TestVMInMaintenanceMissingFromAListDoesNotExceedTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		p := &omittingPlatform{Platform: f.vms}
		f.leadVMs(p, "w1", "w2")
		defer f.depose()
		f.commitWave("vm-w1", "vm-w2")
		time.Sleep(300 * time.Millisecond)
		p.omit("vm-w1", time.Second)
		time.Sleep(15 * time.Second)
		f.checkOneDown()
	})
}
