package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
)

// returnTime is how long a VM may be listed as up until its worker accepts tasks.
const returnTime = 3 * time.Second

// isReturning reports whether a VM is down, or about to go down, and its worker accepts
// tasks again some seconds later.
func (l *loop) isReturning(u *usage, e *vmEntry, now time.Time) bool {
	if e.unavailable() {
		return e.order != nil || e.vm.State != execution.VMDown
	}
	if now.Sub(e.returnedAt) > returnTime {
		return false
	}
	w := u.workerOn[e.vm.ID]
	return w == nil || !w.schedulable(now)
}

// closeExecutedOrders closes the accepted orders whose VMs are up again: what ran there
// has ended with the order, so that a worker which answers a later call has been started
// after it. The next list of VMs may be due only some time later.
func (l *loop) closeExecutedOrders(u *usage, now time.Time) {
	for id, e := range l.fleet.entries {
		if e.order == nil || e.calling || e.unanswered || e.vm.State == execution.VMUp {
			continue
		}
		w := u.workerOn[id]
		if w == nil || !w.inTouch() || w.report == nil || !w.report.sentAt.After(e.orderedAt) {
			continue
		}
		l.Log.Info("VM is up, its worker answers", "vm", id, "worker", w.reg.ID, "was", e.vm.State, "down_ms", now.Sub(e.orderedAt).Milliseconds())
		e.vm.State = execution.VMUp
		e.returnedAt = now
		e.closeOrder()
	}
}
