package scheduler

import (
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// deregisterRetry is the pause before a deregistration is proposed again.
const deregisterRetry = time.Second

// recordLeft records that the worker that was on a VM has ended, if it has announced
// its end and a list that was requested later shows the VM without it.
func (l *loop) recordLeft(vm execution.VM, requestedAt time.Time) {
	w := l.workersByVM()[vm.ID]
	if w == nil || !w.endUnconfirmed() || !requestedAt.After(w.lease.KnownSince()) || !vm.State.Known() {
		return
	}
	if vm.State == execution.VMUp && (vm.Worker == w.reg.ID || vm.Worker == "") {
		return
	}
	w.listedEnded = true
	l.Log.Info("worker has left, its VM is listed without it", "worker", w.reg.ID, "incarnation", w.reg.Incarnation, "vm", vm.ID, "state", vm.State, "listed_worker", vm.Worker)
}

// deregisterEnded deregisters the workers that were on a VM before its order,
// once a list shows that the order was executed. The platform's answer to the
// order is not enough: the platform also accepts an order that was executed
// before, perhaps for a former leader, and the worker that was started after it
// is still alive.
func (l *loop) deregisterEnded(e *vmEntry, vm execution.VM, requestedAt time.Time) {
	if e == nil || e.order == nil || e.mayPredateOrder(requestedAt) {
		return
	}
	if vm.State == execution.VMUp && vm.Worker == "" && (e.order.pool == "" || vm.Pool != e.order.pool) {
		// The list does not name the worker, nor does it show that the VM has
		// moved. If the worker has ended, it will become unresponsive.
		return
	}
	if !vm.State.Known() {
		return
	}
	e.order.workers = slices.DeleteFunc(e.order.workers, func(w workerIncarnation) bool {
		ended := vm.State != execution.VMUp || vm.Worker != w.id
		if ended {
			l.deregister(w)
		}
		return ended
	})
}

// deregister records that a worker has ended.
func (l *loop) deregister(w workerIncarnation) {
	known := l.workers[w.id]
	if known == nil || known.reg.Incarnation != w.incarnation {
		// It is registered no more, or again since the last round, and then it is
		// found lost later if it has ended.
		return
	}
	known.deregistering = true
	sequence := known.reg.Sequence
	go l.proposeDeregistration(&workstate.Deregister{ID: w.id, Incarnation: w.incarnation, Sequence: &sequence})
}

// proposeDeregistration proposes the deregistration of a worker until its result is
// known. An earlier proposal without a result may still be applied, but not after one
// with a result.
func (l *loop) proposeDeregistration(d *workstate.Deregister) {
	for l.ctx.Err() == nil {
		_, err := propose(l.ctx, l.Replica, &workstate.Command{Deregister: d}, l.Now())
		if err == nil {
			l.post(func(l *loop) { l.deregistered(d) })
			return
		}
		if l.ctx.Err() == nil {
			l.Log.Warn("deregistration of a worker not confirmed", "worker", d.ID, "error", err.Error())
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(deregisterRetry):
		}
	}
}

// deregistered records that the deregistration of a worker has had its effect. A
// worker that is registered nonetheless has sent a heartbeat since, and may get tasks.
func (l *loop) deregistered(d *workstate.Deregister) {
	l.dirty = true
	if w := l.workers[d.ID]; w != nil && w.reg.Incarnation == d.Incarnation {
		w.deregistering = false
		w.heartbeatAt = time.Now()
	}
}
