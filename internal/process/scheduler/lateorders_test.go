package scheduler

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// latePlatform does not answer the first order and executes it late.
type latePlatform struct {
	*fakePlatform
	delay   time.Duration
	ordered atomic.Bool
}

func (p *latePlatform) StartMaintenance(ctx context.Context, vm string, wave int64, holder string, token uint64) (execution.VMRefusal, error) {
	return p.call(ctx, func() (execution.VMRefusal, error) {
		return p.fakePlatform.StartMaintenance(context.Background(), vm, wave, holder, token)
	})
}

func (p *latePlatform) Move(ctx context.Context, vm, pool, holder string, token uint64) (execution.VMRefusal, error) {
	return p.call(ctx, func() (execution.VMRefusal, error) {
		return p.fakePlatform.Move(context.Background(), vm, pool, holder, token)
	})
}

func (p *latePlatform) call(ctx context.Context, order func() (execution.VMRefusal, error)) (execution.VMRefusal, error) {
	if p.ordered.Swap(true) {
		return order()
	}
	time.AfterFunc(p.delay, func() { _, _ = order() })
	<-ctx.Done()
	return execution.VMOverloaded, execution.ErrNoAnswer
}

// platform replaces the platform of the leader.
func (f *fixture) platform(p execution.Platform) {
	f.loop.post(func(l *loop) { l.Platform = p })
}

// leadVMs starts the leader of VMs of "svc" that come back 2 s after an order, and
// waits until it may order them.
func (f *fixture) leadVMs(p execution.Platform, workers ...string) {
	f.replaceWorkers(2 * time.Second)
	for _, id := range workers {
		f.addVM(id, "svc")
	}
	f.lead()
	f.platform(p)
	time.Sleep(6 * time.Second)
}

// TestMaintenanceExecutedLateDoesNotExceedTheCap guards against another VM being ordered down in place of one whose order got no answer.
func TestMaintenanceExecutedLateDoesNotExceedTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.leadVMs(&latePlatform{fakePlatform: f.vms, delay: 2 * time.Second}, "w1", "w2")
		defer f.depose()
		f.commitWave("vm-w1", "vm-w2")
		time.Sleep(10 * time.Second)
		f.checkOneDown()
	})
}

// TestMoveExecutedLateInterruptsNoTask guards against tasks on a VM whose move got no answer and is still executed.
func TestMoveExecutedLateInterruptsNoTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3*time.Second)
		f.leadVMs(&latePlatform{fakePlatform: f.vms, delay: 3 * time.Second}, "w1")
		defer f.depose()
		f.loop.post(func(l *loop) { l.orderVM(l.fleet.entries["vm-w1"], vmOrder{pool: "spare"}, time.Now()) })
		time.Sleep(2 * time.Second)
		f.submit(jobA, step(1))
		time.Sleep(500 * time.Millisecond)
		f.addWorker("w2", 1000)
		f.await(jobA, workstate.Succeeded, 10*time.Second)
		if f.workers.starts != 1 {
			t.Errorf("the task started %d times", f.workers.starts)
		}
	})
}

// barrierReplica fails some confirmations of the leadership.
type barrierReplica struct {
	*fakeReplica
	failing atomic.Bool
}

func (r *barrierReplica) ReadBarrier(context.Context) error {
	if r.failing.Load() {
		return errors.New("no majority")
	}
	return nil
}

// TestOrderThatWasNotSentDoesNotStayOpen guards against an order that the platform was never called for being taken for unanswered.
func TestOrderThatWasNotSentDoesNotStayOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.replaceWorkers(2 * time.Second)
		f.addVM("w1", "svc")
		f.lead()
		defer f.depose()
		r := &barrierReplica{fakeReplica: f.replica}
		f.loop.post(func(l *loop) { l.Replica = r })
		time.Sleep(6 * time.Second)
		r.failing.Store(true)
		f.loop.post(func(l *loop) { l.orderVM(l.fleet.entries["vm-w1"], vmOrder{pool: "spare"}, time.Now()) })
		time.Sleep(100 * time.Millisecond)
		if f.orderOf("vm-w1") != nil {
			t.Error("an order that was not sent is open")
		}
	})
}

// deafOnce does not execute the first move.
type deafOnce struct {
	*fakePlatform
	called atomic.Bool
}

func (p *deafOnce) Move(ctx context.Context, vm, pool, holder string, token uint64) (execution.VMRefusal, error) {
	if !p.called.Swap(true) {
		<-ctx.Done()
		return execution.VMOverloaded, execution.ErrNoAnswer
	}
	return p.fakePlatform.Move(ctx, vm, pool, holder, token)
}

// TestRepeatedMoveGoesToNoPoolThatHasDisappeared guards against a VM being moved to a service that is no longer configured.
func TestRepeatedMoveGoesToNoPoolThatHasDisappeared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.replaceWorkers(2 * time.Second)
		for _, w := range []string{"w1", "w2", "w3"} {
			f.addVM(w, "svc")
		}
		f.lead()
		defer f.depose()
		f.platform(&deafOnce{fakePlatform: f.vms})
		time.Sleep(6 * time.Second)
		f.loop.post(func(l *loop) { l.orderVM(l.fleet.entries["vm-w1"], vmOrder{pool: "gone"}, time.Now()) })
		time.Sleep(20 * time.Second)
		f.vms.mu.Lock()
		defer f.vms.mu.Unlock()
		if pool := f.vms.vms["vm-w1"].Pool; pool == "gone" {
			t.Errorf("the VM is in %s, orders %v", pool, f.vms.orders)
		}
	})
}

// fencedPlatform refuses orders with a stale fencing token.
type fencedPlatform struct {
	*fakePlatform
	tokens map[string]uint64
}

func (p *fencedPlatform) StartMaintenance(ctx context.Context, vm string, wave int64, holder string, token uint64) (execution.VMRefusal, error) {
	p.mu.Lock()
	stale := token < p.tokens[vm]
	p.tokens[vm] = max(token, p.tokens[vm])
	p.mu.Unlock()
	if stale {
		return execution.VMRefusedFencingToken, nil
	}
	return p.fakePlatform.StartMaintenance(ctx, vm, wave, holder, token)
}

// TestFormerLeadersLateOrderDoesNotExceedTheCap guards against a VM whose order a former leader has recorded being passed over for another one.
func TestFormerLeadersLateOrderDoesNotExceedTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.limits.FencingEnforced = true
		f.replaceWorkers(2 * time.Second)
		f.addVM("w1", "svc")
		f.addVM("w2", "svc")
		p := &fencedPlatform{fakePlatform: f.vms, tokens: map[string]uint64{}}
		f.commitWave("vm-w1", "vm-w2")
		f.commit(&workstate.Command{Maintenance: &workstate.Maintenance{Wave: 1, VM: "vm-w2"}})
		time.AfterFunc(1500*time.Millisecond, func() { _, _ = p.StartMaintenance(context.Background(), "vm-w2", 1, "former", 0) })
		f.lead()
		defer f.depose()
		f.platform(p)
		time.Sleep(15 * time.Second)
		f.checkOneDown()
	})
}

// slowPlatform executes orders at once and answers them too late, until it recovers.
type slowPlatform struct {
	*fakePlatform
	slow  atomic.Bool
	calls atomic.Int64
}

func (p *slowPlatform) StartMaintenance(ctx context.Context, vm string, wave int64, holder string, token uint64) (execution.VMRefusal, error) {
	p.calls.Add(1)
	r, err := p.fakePlatform.StartMaintenance(ctx, vm, wave, holder, token)
	if p.slow.Load() {
		<-ctx.Done()
		return execution.VMOverloaded, execution.ErrNoAnswer
	}
	return r, err
}

// TestWaveGoesOnWhileThePlatformAnswersTooLate guards against a wave that waits for the answer to an order that a list has shown as executed.
func TestWaveGoesOnWhileThePlatformAnswersTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		p := &slowPlatform{fakePlatform: f.vms}
		p.slow.Store(true)
		f.leadVMs(p, "w1", "w2")
		defer f.depose()
		f.commitWave("vm-w1", "vm-w2")
		time.Sleep(20 * time.Second)
		if !f.vms.isMaintained("vm-w2", 1) {
			t.Errorf("the second VM waits, %d calls", p.calls.Load())
		}
		p.slow.Store(false)
		time.Sleep(15 * time.Second)
		f.checkOneDown()
	})
}

// TestNewLeaderStartsNoTaskOnAVMThatAFormerLeaderOrderedDown guards against a long-running task that a former leader's late order stops while others are away.
func TestNewLeaderStartsNoTaskOnAVMThatAFormerLeaderOrderedDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.addVM("w1", "svc")
		f.addVM("w2", "svc")
		f.commitWave("vm-w1", "vm-w2")
		f.commit(&workstate.Command{Maintenance: &workstate.Maintenance{Wave: 1, VM: "vm-w1"}})
		f.submit(jobA, step(1))
		f.lead()
		defer f.depose()
		time.Sleep(500 * time.Millisecond)
		f.workers.mu.Lock()
		defer f.workers.mu.Unlock()
		if len(f.workers.workers["w1"].running) > 0 {
			t.Error("the task executes on the VM that was ordered down")
		}
	})
}
