package scheduler

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// Times of calls to the platform.
const (
	// listInterval is the age at which the list of VMs is read again, and
	// listIntervalBusy while a VM is away or an order is open.
	listInterval     = 5 * time.Second
	listIntervalBusy = 700 * time.Millisecond
	platformTimeout  = 600 * time.Millisecond
	// orderPause keeps a VM alone after an order that was not taken.
	orderPause = 700 * time.Millisecond
)

// vmOrder is what was ordered of a VM.
type vmOrder struct {
	// pool is where the VM moves; "" is an upkeep of the wave.
	pool string
	wave int64
	// lives are the workers that lived on the VM when the order was first
	// given. They end with it, unless it was done before they came.
	lives []workerLife
}

// workerLife names one life of a worker.
type workerLife struct {
	id   string
	born int64
}

// vmEntry is what the leader knows of a VM.
type vmEntry struct {
	vm execution.VM
	// order is the newest order, nil if none is open: it is open until the
	// VM is up again.
	order *vmOrder
	// calling says that the order is on its way.
	calling bool
	// orderedAt is when the platform took the order.
	orderedAt time.Time
	// pausedUntil keeps further orders away.
	pausedUntil time.Time
	// barred are the pools that do not take the VM.
	barred map[string]bool
}

// away says whether the VM is not up, or is about to be ordered away.
func (e *vmEntry) away() bool { return e.order != nil || e.vm.State != execution.VMUp }

// fleet is what the leader knows of the platform's VMs.
type fleet struct {
	entries  map[string]*vmEntry
	listedAt time.Time
	listing  bool
	// failing says that the newest call to the platform got no answer.
	failing bool
	orders  orderBudget
}

// orderBudget keeps orders below the rate that the platform takes.
type orderBudget struct {
	tokens   float64
	filledAt time.Time
}

// burstShare is the part of a second's orders that may be given at once;
// the rest is left to a former leader in that second.
const burstShare = 0.5

// fill adds what time has brought and says whether an order may be given.
func (b *orderBudget) fill(now time.Time, rate float64) bool {
	if b.filledAt.IsZero() {
		b.tokens = rate * burstShare
	} else {
		b.tokens = min(rate*burstShare, b.tokens+now.Sub(b.filledAt).Seconds()*rate*burstShare)
	}
	b.filledAt = now
	return b.tokens >= 1
}

// listVMs reads the platform's list when it is due.
func (l *loop) listVMs(now time.Time) {
	interval := listInterval
	if l.fleet.busy() {
		interval = listIntervalBusy
	}
	if l.Platform == nil || l.fleet.listing || now.Sub(l.fleet.listedAt) < interval && !l.listIsStale(now) {
		return
	}
	l.fleet.listing = true
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
		defer cancel()
		vms, err := l.Platform.VMs(ctx)
		l.post(func(l *loop) { l.listed(now, vms, err) })
	}()
}

func (f *fleet) busy() bool {
	for _, e := range f.entries {
		if e.away() {
			return true
		}
	}
	return false
}

// listed takes the platform's list as it was asked for at a time.
func (l *loop) listed(askedAt time.Time, vms []execution.VM, err error) {
	f := &l.fleet
	f.listing = false
	f.listedAt = askedAt
	l.dirty = true
	if err != nil {
		if !f.failing {
			l.Log.Warn("platform does not answer", "error", err.Error())
		}
		f.failing = true
		return
	}
	if f.failing {
		l.Log.Info("platform answers", "vms", len(vms))
	}
	f.failing = false
	known := map[string]bool{}
	for _, vm := range vms {
		known[vm.ID] = true
		l.endLives(f.entries[vm.ID], vm, askedAt)
		f.take(vm, askedAt)
	}
	for id, e := range f.entries {
		if !known[id] && !e.calling {
			delete(f.entries, id)
		}
	}
}

// endLives records the end of the workers that lived on a VM before its order,
// once a list shows that the order was carried out: the platform also says yes
// to what is done already, perhaps on the order of a former leader, and then
// the worker that came after it lives on.
func (l *loop) endLives(e *vmEntry, vm execution.VM, askedAt time.Time) {
	if e == nil || e.order == nil || e.mayBeOlder(askedAt) {
		return
	}
	if vm.State == execution.VMUp && vm.Worker == "" && e.order.pool == "" {
		// Not told; a worker that has ended falls silent.
		return
	}
	for _, life := range e.order.lives {
		if vm.State != execution.VMUp || vm.Worker != life.id {
			l.deregister(life)
		}
	}
	e.order.lives = nil
}

// mayBeOlder says whether a list may be older than the VM's order.
func (e *vmEntry) mayBeOlder(askedAt time.Time) bool {
	return e.calling || (e.order != nil && !askedAt.After(e.orderedAt))
}

// take notes one VM of a list.
func (f *fleet) take(vm execution.VM, askedAt time.Time) {
	e := f.entries[vm.ID]
	if e == nil {
		f.entries[vm.ID] = &vmEntry{vm: vm, barred: map[string]bool{}}
		return
	}
	if e.mayBeOlder(askedAt) {
		return
	}
	e.vm = vm
	if vm.State == execution.VMUp {
		e.order = nil
	}
}

// orderVM tells the platform to move a VM or to begin its upkeep. The
// leadership is confirmed first, and the fence of the term goes along.
func (l *loop) orderVM(e *vmEntry, order vmOrder, now time.Time) {
	if e.order == nil {
		order.lives = l.livesOn(e.vm.ID)
	}
	e.order = &order
	e.calling = true
	l.fleet.orders.tokens--
	id := e.vm.ID
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
		defer cancel()
		refusal, err := l.callPlatform(ctx, id, order)
		l.post(func(l *loop) { l.vmAnswered(e, order, refusal, err) })
	}()
}

func (l *loop) callPlatform(ctx context.Context, id string, order vmOrder) (execution.VMRefusal, error) {
	if order.pool == "" {
		// What may go down is recorded before it does.
		upkeep := &workstate.Maintenance{Wave: order.wave, VM: id}
		if _, err := propose(ctx, l.Replica, &workstate.Command{Maintenance: upkeep}, l.Now()); err != nil {
			return execution.VMOverloaded, err
		}
	}
	if err := l.Replica.ReadBarrier(ctx); err != nil {
		return execution.VMOverloaded, err
	}
	if order.pool == "" {
		return l.Platform.StartMaintenance(ctx, id, order.wave, l.Holder, l.term)
	}
	return l.Platform.Move(ctx, id, order.pool, l.Holder, l.term)
}

// vmAnswered takes the platform's answer. Without one the order may be
// carried out: it is repeated, and the VM is left alone meanwhile.
func (l *loop) vmAnswered(e *vmEntry, order vmOrder, refusal execution.VMRefusal, err error) {
	now := time.Now()
	e.calling = false
	l.dirty = true
	l.Log.Info("VM ordered", "vm", e.vm.ID, "from", e.vm.Pool, "to", order.pool, "wave", order.wave, "refusal", refusal, "error", errorText(err))
	switch {
	case err != nil:
		e.pausedUntil = now.Add(orderPause)
		e.orderedAt = now
		return
	case refusal == execution.VMAccepted:
		l.vmTaken(e, order, now)
		return
	case refusal == execution.VMRefusedOther && order.pool != "":
		e.barred[order.pool] = true
	case refusal == execution.VMNotInWave, refusal == execution.VMRefusedOther:
		l.noteUpkeep(order.wave, e.vm.ID)
	}
	e.order = nil
	e.pausedUntil = now.Add(orderPause)
}

// vmTaken notes that a VM goes down. The next list tells whether its worker
// has ended.
func (l *loop) vmTaken(e *vmEntry, order vmOrder, now time.Time) {
	e.orderedAt = now
	if order.pool == "" {
		e.vm.State = execution.VMMaintenance
		l.noteUpkeep(order.wave, e.vm.ID)
	} else {
		e.vm.State = execution.VMMoving
		e.vm.Pool = order.pool
	}
}

// livesOn returns the workers on a VM: one, or none while it is away.
func (l *loop) livesOn(vm string) []workerLife {
	var lives []workerLife
	for id, w := range l.workers {
		if w.reg.VM == vm {
			lives = append(lives, workerLife{id, w.reg.Incarnation})
		}
	}
	return lives
}

// noteUpkeep records that the upkeep of a VM has begun, or never will.
func (l *loop) noteUpkeep(wave int64, vm string) {
	l.record(&workstate.Command{Maintenance: &workstate.Maintenance{Wave: wave, VM: vm, Started: true}}, "upkeep not recorded")
}

// deregister records that a worker has ended with its VM.
func (l *loop) deregister(life workerLife) {
	l.record(&workstate.Command{Deregister: &workstate.Deregister{ID: life.id, Incarnation: life.born}}, "end of a worker not recorded")
}

// record proposes a command whose loss is made good later.
func (l *loop) record(c *workstate.Command, failure string) {
	go func() {
		_, err := propose(l.ctx, l.Replica, c, l.Now())
		if err != nil && l.ctx.Err() == nil {
			l.Log.Warn(failure, "error", err.Error())
		}
		l.post(func(l *loop) { l.dirty = true })
	}()
}

// mayOrder says whether VMs may be ordered now. A former leader confirms its
// leadership before each order, so that its last one ends with the call's
// timeout. Where the platform does not check fences, the lease of the former
// holder must have passed as well.
func (l *loop) mayOrder(now time.Time) bool {
	if l.Platform == nil || l.fleet.failing {
		return false
	}
	if now.Sub(l.since) <= l.formerOrders() || l.listIsStale(now) {
		return false
	}
	return l.fleet.orders.fill(now, l.Limits.ActionRate)
}

// formerOrders is how long after the begin of a leadership a former leader's
// last order may still be carried out.
func (l *loop) formerOrders() time.Duration {
	if l.Limits.FencingEnforced {
		return platformTimeout
	}
	return platformTimeout + l.Limits.HolderLease
}

// listIsStale says whether a former leader's last order may be missing from the
// list though its time has passed: what it sent away would not count.
func (l *loop) listIsStale(now time.Time) bool {
	return now.Sub(l.since) > l.formerOrders() && l.fleet.listedAt.Sub(l.since) <= l.formerOrders()
}
