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

// silentPlatform answers and executes no orders for a while; lists are answered.
type silentPlatform struct {
	*fakePlatform
	silent atomic.Bool
	calls  atomic.Int64
}

func (p *silentPlatform) Move(ctx context.Context, vm, pool, holder string, token uint64) (execution.VMRefusal, error) {
	p.calls.Add(1)
	if p.silent.Load() {
		<-ctx.Done()
		return execution.VMOverloaded, execution.ErrNoAnswer
	}
	return p.fakePlatform.Move(ctx, vm, pool, holder, token)
}

func (p *silentPlatform) StartMaintenance(ctx context.Context, vm string, wave int64, holder string, token uint64) (execution.VMRefusal, error) {
	p.calls.Add(1)
	if p.silent.Load() {
		<-ctx.Done()
		return execution.VMOverloaded, execution.ErrNoAnswer
	}
	return p.fakePlatform.StartMaintenance(ctx, vm, wave, holder, token)
}

// TestSilentPlatformDoesNotTakeThePoolAway guards against idle VMs that get no tasks for as long as the platform answers no order.
func TestSilentPlatformDoesNotTakeThePoolAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.limits.FencingEnforced = true
		f.leadPool(40)
		defer f.depose()
		p := &silentPlatform{fakePlatform: f.vms}
		p.silent.Store(true)
		f.platform(p)
		time.Sleep(6 * time.Second)
		work := step(1)
		work.Estimate = time.Second
		f.submitAndNotify(jobA, work)
		time.Sleep(12 * time.Second)
		wide := step(200)
		wide.Estimate = time.Second
		wide.Need.MemoryMB = 1
		f.submitAndNotify("bbbbbbbbbbbbbbbb", wide)
		f.await("bbbbbbbbbbbbbbbb", workstate.Succeeded, 6*time.Second)
	})
}
