package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// replaceWorkers makes each VM come back some time after an order, with a new
// worker or, in the standby pool, powered off.
func (f *fixture) replaceWorkers(delay time.Duration) {
	count := 0
	f.vms.onDown = func(vm, pool string) {
		f.workers.mu.Lock()
		for id, w := range f.workers.workers {
			if "vm-"+id == vm || f.vms.vms[vm].Worker == id {
				w.unreachable = true
				f.workers.stopAll(w)
				w.notifyChanged()
			}
		}
		f.workers.mu.Unlock()
		count++
		name := fmt.Sprintf("n%d", count)
		time.AfterFunc(delay, func() { f.bringUp(vm, pool, name) })
	}
}

func (f *fixture) bringUp(vm, pool, name string) {
	f.vms.mu.Lock()
	e := f.vms.vms[vm]
	if e.State == execution.VMMaintenance {
		f.vms.downNow--
	}
	e.State = execution.VMUp
	f.vms.mu.Unlock()
	if pool == "spare" {
		return
	}
	f.workers.mu.Lock()
	w := f.workers.add(name, 8000)
	f.workers.mu.Unlock()
	f.vms.mu.Lock()
	e.Worker = name
	f.vms.mu.Unlock()
	f.register(w, vm, pool)
}

// leadPool adds a number of VMs of "svc", whose workers are replaced when they go down,
// and starts a leader.
func (f *fixture) leadPool(count int) {
	f.replaceWorkers(1500 * time.Millisecond)
	for i := range count {
		f.addVM(fmt.Sprint("w", i), "svc")
	}
	f.lead()
}

// addVM adds a VM of "svc" with a worker, or a powered-off VM of the standby
// pool.
func (f *fixture) addVM(id, pool string) {
	f.vms.vms["vm-"+id] = &execution.VM{ID: "vm-" + id, Pool: pool, State: execution.VMUp, Worker: id}
	if pool == "svc" {
		f.addWorker(id, 8000)
	}
}

func TestWaveRespectsCapAndFinishesByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 700*time.Millisecond)
		f.replaceWorkers(2 * time.Second)
		var names []string
		for i := range 8 {
			id := fmt.Sprint("w", i)
			f.addVM(id, "svc")
			names = append(names, "vm-"+id)
		}
		f.lead()
		defer f.depose()
		time.Sleep(6 * time.Second)
		f.commit(&workstate.Command{Wave: &workstate.Wave{Number: 1, VMs: names, Cap: 3, DeadlineMS: time.Now().Add(25 * time.Second).UnixMilli()}})
		for i := range 30 {
			f.submit(fmt.Sprintf("%016x", i), step(4))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(15 * time.Second)
		f.machine.Read(func(v *workstate.View) {
			if !v.Waves()[1].Finished() {
				t.Errorf("maintenance of %d of %d VMs has settled", len(v.Waves()[1].Settled), len(names))
			}
		})
		if f.vms.maxDown > 3 {
			t.Errorf("%d VMs were down at once, the cap is 3", f.vms.maxDown)
		}
		for i := range 30 {
			f.await(fmt.Sprintf("%016x", i), workstate.Succeeded, 5*time.Second)
		}
	})
}

func TestWaveRespectsDisruptionBudgetOfLongRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Hour)
		f.replaceWorkers(2 * time.Second)
		var names []string
		for i := range 4 {
			id := fmt.Sprint("w", i)
			f.addVM(id, "svc")
			names = append(names, "vm-"+id)
		}
		f.lead()
		defer f.depose()
		time.Sleep(6 * time.Second)
		s := workload.Step{Count: 4, Need: workload.Resources{MilliCPU: 1000}, LongRunning: true, DisruptionBudget: 1, MaxPerWorker: 1}
		f.submit(jobA, s)
		time.Sleep(time.Second)
		least := 4
		watch := time.AfterFunc(0, func() {})
		defer watch.Stop()
		f.commit(&workstate.Command{Wave: &workstate.Wave{Number: 1, VMs: names, Cap: 4, DeadlineMS: time.Now().Add(60 * time.Second).UnixMilli()}})
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			f.workers.mu.Lock()
			at := 0
			for _, w := range f.workers.workers {
				at += len(w.running)
			}
			f.workers.mu.Unlock()
			least = min(least, at)
		}
		f.machine.Read(func(v *workstate.View) {
			if !v.Waves()[1].Finished() {
				t.Errorf("maintenance of %d of %d VMs has settled", len(v.Waves()[1].Settled), len(names))
			}
		})
		if least < 3 {
			t.Errorf("only %d of 4 tasks were at work, the budget allows 1 to be away", least)
		}
	})
}

func TestIdleVMsArePoweredOffUntilLoadReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.leadPool(8)
		defer f.depose()
		time.Sleep(6 * time.Second)
		work := step(1)
		work.Estimate = time.Second
		work.Need.MemoryMB = 1
		f.submitAndNotify(jobA, work)
		time.Sleep(12 * time.Second)
		off := 0
		f.vms.mu.Lock()
		for _, vm := range f.vms.vms {
			if vm.Pool == "spare" {
				off++
			}
		}
		f.vms.mu.Unlock()
		if off != 8-minPoolVMs {
			t.Errorf("%d of 8 idle VMs are powered off, expected all but %d", off, minPoolVMs)
		}
		wide := step(40)
		wide.Estimate = time.Second
		wide.Need.MemoryMB = 1
		f.submitAndNotify("bbbbbbbbbbbbbbbb", wide)
		f.await("bbbbbbbbbbbbbbbb", workstate.Succeeded, 4500*time.Millisecond)
	})
}

// submitAndNotify submits a job and notifies the loop, like the server does.
func (f *fixture) submitAndNotify(id string, steps ...workload.Step) {
	f.submit(id, steps...)
	f.loop.post(func(l *loop) { l.handleJobArrival(id, time.Now()) })
}

// ordersAfter starts a leader with a wave of one VM and returns the numbers of
// orders that it has given after the first and the second duration.
func ordersAfter(t *testing.T, fencingEnforced bool, first, second time.Duration) (early, late int) {
	f := newFixture(t, time.Second)
	f.limits.FencingEnforced = fencingEnforced
	f.replaceWorkers(2 * time.Second)
	f.addVM("w1", "svc")
	f.commit(&workstate.Command{Wave: &workstate.Wave{Number: 1, VMs: []string{"vm-w1"}, Cap: 1, DeadlineMS: time.Now().Add(20 * time.Second).UnixMilli()}})
	f.lead()
	defer f.depose()
	time.Sleep(first)
	early = len(f.vms.orders)
	time.Sleep(second - first)
	return early, len(f.vms.orders)
}

func TestNewLeaderSendsNoVMOrdersUntilFormerLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if early, late := ordersAfter(t, false, 2900*time.Millisecond, 7*time.Second); early != 0 || late != 1 {
			t.Errorf("%d orders within the holder's lease, %d after it", early, late)
		}
	})
}

func TestNewLeaderSendsNoVMOrdersWithinCallTimeoutWithFencingTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if early, late := ordersAfter(t, true, platformTimeout-50*time.Millisecond, 3*time.Second); early != 0 || late != 1 {
			t.Errorf("%d orders within the timeout of a call, %d after it", early, late)
		}
	})
}

func TestTemporarilyMissingVMStillGetsMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.replaceWorkers(2 * time.Second)
		f.addVM("w1", "svc")
		f.addVM("w2", "svc")
		missing := f.vms.vms["vm-w2"]
		delete(f.vms.vms, "vm-w2")
		f.lead()
		defer f.depose()
		time.Sleep(6 * time.Second)
		f.commit(&workstate.Command{Wave: &workstate.Wave{Number: 1, VMs: []string{"vm-w1", "vm-w2"}, Cap: 2, DeadlineMS: time.Now().Add(20 * time.Second).UnixMilli()}})
		time.Sleep(6 * time.Second)
		f.machine.Read(func(v *workstate.View) {
			if v.Waves()[1].Finished() {
				t.Error("the wave is finished while a VM is missing")
			}
		})
		f.vms.mu.Lock()
		f.vms.vms["vm-w2"] = missing
		f.vms.mu.Unlock()
		time.Sleep(10 * time.Second)
		if len(f.vms.orders) != 2 {
			t.Errorf("orders %v, expected the maintenance of both", f.vms.orders)
		}
	})
}

func TestPoolKeepsEnoughVMsForItsLimitOfTasksPerWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.leadPool(8)
		defer f.depose()
		time.Sleep(6 * time.Second)
		work := step(1)
		work.Estimate = time.Second
		f.submitAndNotify(jobA, work)
		time.Sleep(12 * time.Second)
		f.workers.duration = time.Hour
		spread := step(6)
		spread.LongRunning = true
		spread.MaxPerWorker = 1
		f.submitAndNotify("bbbbbbbbbbbbbbbb", spread)
		time.Sleep(3 * time.Second)
		if at := f.executing(); at != 6 {
			t.Errorf("%d of 6 tasks at work 3 s after their job came to a pool of %d VMs", at, minPoolVMs)
		}
		time.Sleep(20 * time.Second)
		if at := f.executing(); at != 6 {
			t.Errorf("%d of 6 tasks at work later", at)
		}
	})
}

func (f *fixture) executing() int {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	count := 0
	for _, w := range f.workers.workers {
		count += len(w.running)
	}
	return count
}

func TestWaveWithMissingVMEndsSoonAfterItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.replaceWorkers(2 * time.Second)
		f.addVM("w1", "svc")
		f.lead()
		defer f.depose()
		time.Sleep(6 * time.Second)
		f.commit(&workstate.Command{Wave: &workstate.Wave{Number: 1, VMs: []string{"vm-w1", "vm-gone"}, Cap: 2, DeadlineMS: time.Now().Add(12 * time.Second).UnixMilli()}})
		finished := func() (done bool) {
			f.machine.Read(func(v *workstate.View) { done = v.Waves()[1].Finished() })
			return done
		}
		time.Sleep(11 * time.Second)
		if finished() {
			t.Error("the wave is finished before its deadline, though a missing VM may come back")
		}
		time.Sleep(3 * time.Second)
		if !finished() {
			t.Error("the wave is not finished 2 s after its deadline")
		}
	})
}

func TestVMsInUnreachableZoneGetNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.replaceWorkers(1500 * time.Millisecond)
		for i := range 4 {
			f.addVM(fmt.Sprint("w", i), "svc")
		}
		for i := range 4 {
			id := fmt.Sprint("cut", i)
			f.vms.vms["vm-"+id] = &execution.VM{ID: "vm-" + id, Pool: "spare", Zone: "far", State: execution.VMUp}
		}
		for i := range 3 {
			id := fmt.Sprint("dark", i)
			f.vms.vms["vm-"+id] = &execution.VM{ID: "vm-" + id, Pool: "svc", Zone: "far", State: execution.VMUp, Worker: id}
			w := f.workers.add(id, 8000)
			w.unreachable = true
			f.commit(&workstate.Command{Register: &workstate.Worker{ID: id, Address: id, Service: "svc", Zone: "far", VM: "vm-" + id, Incarnation: w.incarnation, Capacity: w.capacity}})
		}
		f.lead()
		defer f.depose()
		time.Sleep(5 * time.Second)
		wide := step(60)
		wide.Estimate = time.Second
		f.submitAndNotify(jobA, wide)
		time.Sleep(time.Second)
		for _, order := range f.vms.orders {
			t.Errorf("order %q for a VM that can't be reached", order)
		}
	})
}

func TestLateMaintenanceAnswerDoesNotDeregisterNewWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.replaceWorkers(2 * time.Second)
		f.addVM("w1", "svc")
		f.lead()
		defer f.depose()
		time.Sleep(6 * time.Second)
		f.commit(&workstate.Command{Wave: &workstate.Wave{Number: 1, VMs: []string{"vm-w1"}, Cap: 1, DeadlineMS: time.Now().Add(20 * time.Second).UnixMilli()}})
		f.vms.loseAnswers(1)
		time.Sleep(200 * time.Millisecond)
		order := f.orderOf("vm-w1")
		if order == nil || order.wave != 1 {
			t.Fatalf("order %+v, expected the maintenance order without an answer", order)
		}
		// The answer to a repeated order arrives after the next worker has started.
		time.Sleep(3 * time.Second)
		f.loop.post(func(l *loop) { l.handleVMAnswer(l.fleet.entries["vm-w1"], *order, execution.VMAccepted, nil) })
		time.Sleep(100 * time.Millisecond)
		f.machine.Read(func(v *workstate.View) {
			if v.Workers()["n1"] == nil {
				t.Error("the worker that was started after the maintenance was deregistered")
			}
		})
	})
}

// orderOf returns the open order of a VM, or nil.
func (f *fixture) orderOf(vm string) *vmOrder {
	result := make(chan *vmOrder, 1)
	f.loop.post(func(l *loop) {
		if order := l.fleet.entries[vm].order; order != nil {
			open := *order
			result <- &open
			return
		}
		result <- nil
	})
	return <-result
}

// TestNewLeaderCountsTheFormersLastOrder has a former leader's last order take
// a VM down for maintenance after the new leader has read its first list. The
// new leader must count that VM towards the cap.
func TestNewLeaderCountsTheFormersLastOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.limits.FencingEnforced = true
		f.replaceWorkers(3 * time.Second)
		f.addVM("w1", "svc")
		f.addVM("w2", "svc")
		f.commit(&workstate.Command{Wave: &workstate.Wave{Number: 1, VMs: []string{"vm-w1", "vm-w2"}, Cap: 1, DeadlineMS: time.Now().Add(10 * time.Second).UnixMilli()}})
		f.lead()
		defer f.depose()
		time.Sleep(platformTimeout - 100*time.Millisecond)
		if _, err := f.vms.StartMaintenance(t.Context(), "vm-w2", 1, "former", 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if f.vms.maxDown > 1 {
			t.Errorf("%d VMs were down at once, the cap is 1", f.vms.maxDown)
		}
	})
}
