package scheduler

import (
	"context"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// Times of calls to the platform.
const (
	// listInterval is the interval at which the list of VMs is read, and
	// listIntervalBusy the interval while a VM is unavailable or an order is
	// open.
	listInterval     = 5 * time.Second
	listIntervalBusy = 700 * time.Millisecond
	platformTimeout  = 600 * time.Millisecond
	// orderPause is how long a VM is not ordered again after an order that
	// failed or was refused.
	orderPause = 700 * time.Millisecond
)

// vmOrder is an order for a VM.
type vmOrder struct {
	// pool is the pool to which the VM moves; "" means maintenance for the
	// wave.
	pool string
	wave int64
	// workers holds the workers on the VM when the order was first given. They
	// end when the order is executed. If it was executed before, by order of a
	// former leader, they may have been started after it and continue.
	workers []workerIncarnation
}

// workerIncarnation identifies one incarnation of a worker.
type workerIncarnation struct {
	id          string
	incarnation int64
}

// vmEntry is what the leader knows about a VM.
type vmEntry struct {
	vm execution.VM
	// order is the open order, or nil. It stays open until the VM is up again
	// and the platform can no longer execute it.
	order *vmOrder
	// unanswered is set if the order got no answer, so that the platform may
	// still execute it.
	unanswered bool
	// openSince is when the open order was first given.
	openSince time.Time
	// calling is set while the order is in flight.
	calling bool
	// orderedAt is when the platform accepted the order, or when the order
	// failed and may have been executed.
	orderedAt time.Time
	// pausedUntil is the time before which no further order is given.
	pausedUntil time.Time
	// ownWave is the last wave for which this leader ordered the maintenance while no
	// former leader had done so. refused is set while the platform's last answer to
	// that was that it executes no further order at present.
	ownWave int64
	refused bool
	// returnedAt is when the VM was first known to be up after it was not.
	returnedAt time.Time
	// missingSince is when the first list was requested that left the VM out; zero
	// if the last one showed it.
	missingSince time.Time
	// refusedPools is the set of pools that the VM can't move to.
	refusedPools map[string]bool
}

// unavailable reports whether the VM is not up or has an open order.
func (e *vmEntry) unavailable() bool { return e.order != nil || e.vm.State != execution.VMUp }

// recordListing records whether the list requested at a time shows the VM.
func (e *vmEntry) recordListing(listed bool, requestedAt time.Time) {
	switch {
	case listed:
		e.missingSince = time.Time{}
	case e.missingSince.IsZero():
		e.missingSince = requestedAt
	}
}

// gone reports whether a VM that the list requested at a time leaves out can be
// forgotten. One that is or may go down counts against the cap of its wave for
// missingTime.
func (e *vmEntry) gone(requestedAt time.Time) bool {
	if e.missingSince.IsZero() || e.calling {
		return false
	}
	return !e.unavailable() || requestedAt.Sub(e.missingSince) >= missingTime
}

// fleet is what the leader knows about the platform's VMs.
type fleet struct {
	entries map[string]*vmEntry
	// listed is set once the platform has answered with a list.
	listed bool
	// listedAt is when the last list was requested, answered or not.
	listedAt time.Time
	listing  bool
	// failing is set if the last call to list the VMs got no answer.
	failing bool
	orders  orderBudget
}

// listVMs reads the platform's list of VMs if it is due.
func (l *loop) listVMs(now time.Time) {
	if l.Platform == nil || l.fleet.listing || !l.listIsDue(now) {
		return
	}
	l.fleet.listing = true
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
		defer cancel()
		vms, err := l.Platform.VMs(ctx)
		l.post(func(l *loop) { l.handleVMList(now, vms, err) })
	}()
}

// listIsDue reports whether the list of VMs has to be read again.
func (l *loop) listIsDue(now time.Time) bool {
	age := now.Sub(l.fleet.listedAt)
	switch {
	case age >= listInterval || l.listIsStale(now):
		return true
	case age < listIntervalBusy:
		return false
	}
	return l.fleet.busy() || slices.ContainsFunc(l.workerList, (*worker).endUnconfirmed)
}

func (f *fleet) busy() bool {
	for _, e := range f.entries {
		if e.unavailable() {
			return true
		}
	}
	return false
}

// handleVMList handles the answer to a request for the list of VMs.
func (l *loop) handleVMList(requestedAt time.Time, vms []execution.VM, err error) {
	f := &l.fleet
	f.listing = false
	f.listedAt = requestedAt
	l.dirty = true
	if err != nil {
		if !f.failing {
			l.Log.Warn("platform unresponsive", "error", err.Error())
		}
		f.failing = true
		return
	}
	if f.failing {
		l.Log.Info("platform responsive", "vms", len(vms))
	}
	f.failing, f.listed = false, true
	known := map[string]bool{}
	for _, vm := range vms {
		known[vm.ID] = true
		l.recordLeft(vm, requestedAt)
		l.deregisterEnded(f.entries[vm.ID], vm, requestedAt)
		f.update(vm, requestedAt)
	}
	for id, e := range f.entries {
		e.recordListing(known[id], requestedAt)
		if e.gone(requestedAt) {
			l.Log.Info("VM forgotten, lists leave it out", "vm", id, "state", e.vm.State, "missing_ms", requestedAt.Sub(e.missingSince).Milliseconds(), "open_order", e.order != nil)
			delete(f.entries, id)
		}
	}
}

// mayPredateOrder reports whether a list may be older than the VM's order.
func (e *vmEntry) mayPredateOrder(requestedAt time.Time) bool {
	return e.calling || (e.order != nil && !requestedAt.After(e.orderedAt))
}

// update updates a VM from a list.
func (f *fleet) update(vm execution.VM, requestedAt time.Time) {
	e := f.entries[vm.ID]
	if e == nil {
		f.entries[vm.ID] = &vmEntry{vm: vm, refusedPools: map[string]bool{}}
		return
	}
	if e.mayPredateOrder(requestedAt) || requestedAt.Before(e.returnedAt) {
		return
	}
	if vm.State == execution.VMUp && e.vm.State != execution.VMUp {
		e.returnedAt = requestedAt
	}
	e.vm = vm
	if e.order != nil && e.order.executed(vm) {
		e.unanswered = false
	}
	if vm.State == execution.VMUp && !e.unanswered {
		e.closeOrder()
	}
}

// executed reports whether a list shows that the platform has executed an order.
// To execute it again would have no effect.
func (o *vmOrder) executed(vm execution.VM) bool {
	if o.pool == "" {
		return vm.State == execution.VMMaintenance
	}
	return vm.Pool == o.pool && vm.State.Known()
}

// closeOrder records that the open order has had its effect, or has none.
func (e *vmEntry) closeOrder() {
	e.order = nil
	e.unanswered = false
}

// workersOn returns the workers on a VM: one, or none while the VM is
// unavailable.
func (l *loop) workersOn(vm string) []workerIncarnation {
	var workers []workerIncarnation
	for id, w := range l.workers {
		if w.reg.VM == vm {
			workers = append(workers, workerIncarnation{id, w.reg.Incarnation})
		}
	}
	return workers
}

// recordMaintenance records that the maintenance of a VM has started, or that
// it never will.
func (l *loop) recordMaintenance(wave int64, vm string) {
	l.proposeAsync(&workstate.Command{Maintenance: &workstate.Maintenance{Wave: wave, VM: vm, Settled: true}}, "maintenance record not confirmed")
}

// proposeAsync proposes a command in the background and does not retry it. A
// lost record of a started maintenance is made good when the maintenance is
// ordered again.
func (l *loop) proposeAsync(c *workstate.Command, failure string) {
	go func() {
		result, err := propose(l.ctx, l.Replica, c, l.Now())
		if l.ctx.Err() == nil && (err != nil || result.Code != workstate.OK) {
			l.Log.Warn(failure, "result", result.Code, "error", errorText(err))
		}
		l.post(func(l *loop) { l.dirty = true })
	}()
}
