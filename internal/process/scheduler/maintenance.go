package scheduler

import (
	"cmp"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

const (
	// maintenanceRound is the estimated time to maintain one batch of a wave's
	// VMs: tasks end, the VMs go down and come back.
	maintenanceRound = 5 * time.Second
	// deadlineReserve is the time reserved for failures at the end of a wave.
	deadlineReserve = 5 * time.Second
	// A VM of a wave that the platform does not list is abandoned once it has
	// been missing for missingTime and the wave's deadline has passed by
	// missingGrace.
	missingGrace = time.Second
	missingTime  = 5 * time.Second
	// drainTime is how long a cordoned VM waits for its short tasks to end if
	// the wave's deadline is not close.
	drainTime = 6 * time.Second
)

// maintenanceState is what the leader knows about the VMs of unfinished waves.
type maintenanceState struct {
	// cordoned holds the VMs that get no new tasks until their maintenance,
	// with the time since when.
	cordoned map[string]time.Time
	// due is the set of all VMs of waves whose maintenance has not started.
	due map[string]bool
	// missing holds the time since when a VM of a wave has not been listed.
	missing map[string]time.Time
}

// isCordoned reports whether a VM is cordoned for its maintenance.
func (m *maintenanceState) isCordoned(vm string) bool {
	_, cordoned := m.cordoned[vm]
	return vm != "" && cordoned
}

// cordon cordons a VM, and returns since when it is and whether it was before.
func (m *maintenanceState) cordon(vm string, previously map[string]time.Time, now time.Time) (since time.Time, known bool) {
	since, known = previously[vm]
	if !known {
		since = now
	}
	m.cordoned[vm] = since
	return since, known
}

// maintenanceClass orders the VMs of a wave by the disruption that their
// maintenance causes.
type maintenanceClass uint8

const (
	// poweredOff VMs are in the standby pool; idle VMs execute no task at
	// present.
	poweredOff maintenanceClass = iota
	idle
	// busy VMs execute tasks, which have to end or move first.
	busy
)

// maintenanceVM is a VM that waits for its maintenance.
type maintenanceVM struct {
	entry *vmEntry
	// worker is nil if the VM is powered off.
	worker *worker
	class  maintenanceClass
	// rank is the cordonRank of the VM.
	rank int
	// utilization is the share of the pool's capacity that is in use.
	utilization float64
}

// busyUtilization is the utilization of a pool above which its busy VMs are not
// cordoned unless the wave's deadline is close.
const busyUtilization = 0.5

// planMaintenance advances all unfinished maintenance waves.
func (l *loop) planMaintenance(v *workstate.View, u *usage, now time.Time) {
	previouslyCordoned := l.maintenance.cordoned
	l.maintenance.cordoned = map[string]time.Time{}
	l.maintenance.due = map[string]bool{}
	l.cordonOrdered(v, previouslyCordoned, now)
	if !l.fleet.listed {
		return
	}
	for _, wave := range v.Waves() {
		if !wave.Finished() {
			l.planWave(v, u, wave, previouslyCordoned, now)
		}
	}
	l.closeOrdersOfFinishedWaves(v)
}

// cordonOrdered cordons the VMs whose maintenance was ordered and has not settled: an
// order of a former leader may still be executed.
func (l *loop) cordonOrdered(v *workstate.View, previouslyCordoned map[string]time.Time, now time.Time) {
	for _, wave := range v.Waves() {
		if wave.Finished() {
			continue
		}
		for id := range wave.Ordered {
			if wave.Settled[id] {
				continue
			}
			l.maintenance.cordon(id, previouslyCordoned, now)
		}
	}
}

// planWave cordons as many VMs of a wave as its cap allows, drains them and
// orders their maintenance.
func (l *loop) planWave(v *workstate.View, u *usage, wave *workstate.Wave, previouslyCordoned map[string]time.Time, now time.Time) {
	available := wave.Cap
	var waiting []maintenanceVM
	for _, id := range wave.VMs {
		e := l.fleet.entries[id]
		if e != nil {
			delete(l.maintenance.missing, id)
		}
		switch {
		case e == nil:
			l.handleMissingVM(wave, id, now)
			if l.maybeInMaintenance(wave, id, now) {
				available--
			}
		case e.order != nil && e.order.pool == "" && e.order.wave == wave.Number:
			available--
			l.settleListed(v, wave, e)
			l.repeatOrder(e, now)
		case e.vm.State == execution.VMMaintenance:
			available--
		case !wave.Settled[id]:
			l.maintenance.due[id] = true
			waiting = append(waiting, newMaintenanceVM(v, u, e))
		}
	}
	l.cordonAndOrder(u, wave, waiting, available, previouslyCordoned, now)
}

// settleListed records that the maintenance of a VM has started if the list shows
// it while an order for it is open, whether or not the order was answered.
func (l *loop) settleListed(v *workstate.View, wave *workstate.Wave, e *vmEntry) {
	if e.vm.State == execution.VMMaintenance && !wave.Settled[e.vm.ID] && !inAnotherWave(v, wave, e.vm.ID) {
		l.Log.Info("maintenance of VM settled by the list", "vm", e.vm.ID, "wave", wave.Number, "unanswered", e.unanswered)
		l.recordMaintenance(wave.Number, e.vm.ID)
	}
}

// inAnotherWave reports whether the maintenance of a VM may be that of another
// unfinished wave.
func inAnotherWave(v *workstate.View, wave *workstate.Wave, vm string) bool {
	for _, other := range v.Waves() {
		if other != wave && !other.Finished() && slices.Contains(other.VMs, vm) {
			return true
		}
	}
	return false
}

// handleMissingVM handles a VM of a wave that the platform does not list. Such
// a VM may reappear after some seconds, so it is abandoned only after the wave's
// deadline.
func (l *loop) handleMissingVM(wave *workstate.Wave, id string, now time.Time) {
	if _, known := l.maintenance.missing[id]; !known {
		l.maintenance.missing[id] = now
	}
	overdue := time.Duration(l.Now().UnixMilli()-wave.DeadlineMS) * time.Millisecond
	if l.fleet.failing || wave.Settled[id] || overdue < missingGrace || now.Sub(l.maintenance.missing[id]) < missingTime || now.Sub(l.fleet.listedAt) > listInterval {
		return
	}
	l.Log.Info("VM abandoned, missing past the deadline of its wave", "wave", wave.Number, "vm", id, "overdue_ms", overdue.Milliseconds())
	l.recordMaintenance(wave.Number, id)
}

// maybeInMaintenance reports whether a VM that the platform does not list may be
// down for a wave by order of a former leader.
func (l *loop) maybeInMaintenance(wave *workstate.Wave, id string, now time.Time) bool {
	return wave.Ordered[id] && now.Sub(l.maintenance.missing[id]) < missingTime
}

// newMaintenanceVM returns a VM with its class and the utilization of its pool.
func newMaintenanceVM(v *workstate.View, u *usage, e *vmEntry) maintenanceVM {
	vm := maintenanceVM{entry: e, worker: u.workerOn[e.vm.ID], class: busy, utilization: u.utilization[e.vm.Pool]}
	switch {
	case e.isStandby(v):
		vm.class = poweredOff
	case vm.worker == nil || u.load(vm.worker).runs == 0:
		vm.class = idle
	}
	return vm
}

// cordonAndOrder cordons waiting VMs, as many as may still go down for the wave,
// and orders the maintenance of the drained ones.
func (l *loop) cordonAndOrder(u *usage, wave *workstate.Wave, waiting []maintenanceVM, available int, previouslyCordoned map[string]time.Time, now time.Time) {
	if available <= 0 {
		return
	}
	for i := range waiting {
		waiting[i].rank = cordonRank(wave, previouslyCordoned, waiting[i].entry.vm.ID)
	}
	slices.SortFunc(waiting, compareCordonOrder)
	remaining := time.Duration(wave.DeadlineMS-l.Now().UnixMilli()) * time.Millisecond
	batches := (len(waiting) + wave.Cap - 1) / wave.Cap
	urgent := remaining < time.Duration(batches)*maintenanceRound+deadlineReserve
	leaving := newEvacuation(u, waiting, remaining)
	for _, vm := range waiting {
		if available <= 0 {
			return
		}
		if vm.entry.unavailable() || now.Before(vm.entry.pausedUntil) {
			if wave.Ordered[vm.entry.vm.ID] {
				available--
			}
			continue
		}
		if !urgent && vm.class == busy && vm.utilization > busyUtilization && !wave.Ordered[vm.entry.vm.ID] && !leaving.admits(&vm) {
			continue
		}
		available--
		l.cordonVM(u, wave, vm, previouslyCordoned, urgent, now)
	}
}

// cordonRank orders VMs first whose maintenance was ordered before, since a former
// leader's order may still be executed, and then those that are already cordoned.
func cordonRank(wave *workstate.Wave, previouslyCordoned map[string]time.Time, vm string) int {
	if wave.Ordered[vm] {
		return rankOrdered
	}
	if _, ok := previouslyCordoned[vm]; ok {
		return rankCordoned
	}
	return rankOther
}

// Ranks of the VMs of a wave, see cordonRank.
const (
	rankOrdered = iota
	rankCordoned
	rankOther
)

// compareCordonOrder orders VMs by rank, then those first whose maintenance
// disrupts least.
func compareCordonOrder(a, b maintenanceVM) int {
	if a.rank != b.rank {
		return cmp.Compare(a.rank, b.rank)
	}
	if a.class != b.class {
		return cmp.Compare(a.class, b.class)
	}
	if a.utilization != b.utilization {
		return cmp.Compare(a.utilization, b.utilization)
	}
	return cmp.Compare(a.entry.vm.ID, b.entry.vm.ID)
}

// cordonVM keeps new tasks from a VM. It orders the maintenance once no
// long-running task executes there and the short tasks have ended, drainTime has
// passed or the wave is urgent. The maintenance interrupts the short tasks that
// are left.
func (l *loop) cordonVM(u *usage, wave *workstate.Wave, vm maintenanceVM, previouslyCordoned map[string]time.Time, urgent bool, now time.Time) {
	id := vm.entry.vm.ID
	since, known := l.maintenance.cordon(id, previouslyCordoned, now)
	if !known {
		l.Log.Info("VM cordoned for maintenance", "wave", wave.Number, "vm", id, "pool", vm.entry.vm.Pool, "class", vm.class, "pressure", vm.utilization)
	}
	if !l.mayOrderVM(now) || (vm.worker != nil && !l.readyForMaintenance(u, vm.worker, since, urgent, now)) {
		return
	}
	l.orderVM(vm.entry, vmOrder{wave: wave.Number}, now)
}

// readyForMaintenance reports whether a VM may go down, see cordonVM. It stops
// the VM's long-running tasks as far as their disruption budgets allow.
func (l *loop) readyForMaintenance(u *usage, w *worker, since time.Time, urgent bool, now time.Time) bool {
	if u.load(w).runs == 0 {
		return true
	}
	l.evacuate(u, w, now)
	if len(u.load(w).longRunning) > 0 {
		return false
	}
	return urgent || now.Sub(since) > drainTime
}
