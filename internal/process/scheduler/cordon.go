package scheduler

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/rebalance"
	"arbutusward.example/arbutusward/internal/version/relocation"
)

const (
	// drainTime is how long a cordoned VM waits for its short tasks to end if
	// the wave's deadline is not close.
	drainTime = 6 * time.Second
	// busyUtilization is the utilization of a pool above which its busy VMs are not
	// cordoned unless the wave's deadline is close.
	busyUtilization = 0.5
	// interruptTime is how long a VM whose long-running tasks have no other place
	// stays cordoned until its maintenance is ordered. interruptPause is the pause
	// before the next attempt.
	interruptTime  = 2 * time.Second
	interruptPause = 10 * time.Second
	// heldLogInterval is the minimum time between two log lines about VMs that can't
	// be cordoned.
	heldLogInterval = time.Second
)

var liftedCordons = metrics.NewCounter(`arbutus_cordons_lifted_total`)

// Reasons beside those of package relocation why a VM is not cordoned.
var (
	errPoolBusy     = errors.New("the pool is busy")
	errTaskArriving = errors.New("a long-running task has just started")
	errNeeded       = errors.New("the load needs the VM")
)

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
	// longRunning counts the long-running tasks on the VM.
	longRunning int
}

// newMaintenanceVM returns a VM of a wave.
func (l *loop) newMaintenanceVM(v *workstate.View, u *usage, wave *workstate.Wave, e *vmEntry) maintenanceVM {
	vm := maintenanceVM{entry: e, worker: u.workerOn[e.vm.ID], class: busy, utilization: u.utilization[e.vm.Pool]}
	vm.rank = l.cordonRank(wave, e.vm.ID)
	if vm.worker != nil {
		vm.longRunning = len(u.load(vm.worker).longRunning)
	}
	switch {
	case e.isStandby(v):
		vm.class = poweredOff
	case vm.worker == nil || u.load(vm.worker).runs == 0:
		vm.class = idle
	}
	return vm
}

// cordonRank orders VMs first whose maintenance may have been ordered, and then those
// that are already cordoned.
func (l *loop) cordonRank(wave *workstate.Wave, vm string) int {
	if l.mayBeExecuted(wave, vm) {
		return rankOrdered
	}
	if _, ok := l.maintenance.previously[vm]; ok {
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

// cordonCandidate is a VM of a wave that may be cordoned in this round.
type cordonCandidate struct {
	maintenanceVM
	pressure *wavePressure
	// needed is set if the load needs the VM.
	needed bool
}

// cordonVMs cordons VMs that wait for their maintenance, as many as their waves and
// pools allow, and orders the maintenance of the drained ones. The waves are planned
// together, since they share the room of the pools. VMs that the load needs wait as long
// as their wave has time.
func (l *loop) cordonVMs(v *workstate.View, u *usage, rounds []*waveRound, pools []rebalance.Pool, now time.Time) {
	var candidates []cordonCandidate
	for _, r := range rounds {
		pressure := l.newWavePressure(u, r)
		for i := range r.waiting {
			candidates = append(candidates, cordonCandidate{maintenanceVM: r.waiting[i], pressure: pressure})
		}
	}
	slices.SortStableFunc(candidates, compareCordonOrder)
	held := map[error]int{}
	var needs loadNeeds
	if len(candidates) > 0 {
		needs = l.needsOfLoad(u, pools, now)
	}
	for i := range candidates {
		c := &candidates[i]
		c.needed = needs.short || needs.moving[c.entry.vm.ID]
		if err := l.cordonCandidate(v, u, c, now); err != nil {
			held[err]++
		}
	}
	l.logHeld(held, now)
	l.logLifted()
}

// compareCordonOrder orders VMs by rank, then those first whose waves are long overdue,
// then those whose maintenance disrupts least.
func compareCordonOrder(a, b cordonCandidate) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(b.pressure.overdue, a.pressure.overdue),
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.utilization, b.utilization),
		cmp.Compare(a.longRunning, b.longRunning),
		cmp.Compare(a.entry.vm.ID, b.entry.vm.ID),
	)
}

// cordonCandidate cordons a VM if its wave and its pool allow it now. Otherwise it
// returns why the pool does not.
func (l *loop) cordonCandidate(v *workstate.View, u *usage, c *cordonCandidate, now time.Time) error {
	ordered := c.rank == rankOrdered
	if c.pressure.available <= 0 {
		return nil
	}
	if c.entry.unavailable() || (now.Before(c.entry.pausedUntil) && !c.entry.refused) {
		if ordered {
			c.pressure.available--
		}
		return nil
	}
	if c.needed && c.waits() {
		return errNeeded
	}
	if err := l.closeForMaintenance(v, u, c, now); err != nil {
		return err
	}
	c.pressure.available--
	l.cordonVM(u, c, now)
	return nil
}

// waits reports whether the maintenance of a VM can wait for the load to fall: the wave
// has time, and the VM is not on its way to it.
func (c *cordonCandidate) waits() bool {
	return c.rank == rankOther && c.pressure.relocationPressure() == relocation.Relaxed
}

// closeForMaintenance closes the worker of a VM in the relocation plan, or returns why
// it stays open.
func (l *loop) closeForMaintenance(v *workstate.View, u *usage, c *cordonCandidate, now time.Time) error {
	if c.worker == nil {
		return nil
	}
	plan, id := l.relocationPlan(v, u, now), c.worker.reg.ID
	interruptedAt, interrupted := l.maintenance.interrupted[c.entry.vm.ID]
	if c.rank == rankOrdered || (interrupted && now.Sub(interruptedAt) < interruptTime) {
		plan.ForceClose(id)
		return nil
	}
	if !c.pressure.urgent && c.class == busy && c.utilization > busyUtilization && !c.pressure.leaving.admits(&c.maintenanceVM) {
		return errPoolBusy
	}
	if c.rank == rankOther && l.hasArrivingTask(u, c.worker, now) {
		return errTaskArriving
	}
	err := plan.Close(id, c.pressure.relocationPressure())
	if errors.Is(err, relocation.ErrNoRoom) && l.interrupt(plan, c, now) {
		return nil
	}
	return err
}

// interrupt closes the worker of a VM whose long-running tasks have no other place, if
// the wave is urgent and the maintenance can be ordered now. It reports whether it did.
func (l *loop) interrupt(plan *relocation.Plan, c *cordonCandidate, now time.Time) bool {
	vm := c.entry.vm.ID
	last, interrupted := l.maintenance.interrupted[vm]
	if !c.pressure.urgent || !l.mayOrderVM(now) || (interrupted && now.Sub(last) < interruptPause) {
		return false
	}
	if plan.Interrupt(c.worker.reg.ID) != nil {
		return false
	}
	l.maintenance.interrupted[vm] = now
	l.Log.Info("long-running tasks wait for the maintenance of their VM, there is no other room", "vm", vm, "worker", c.worker.reg.ID, "tasks", c.longRunning)
	return true
}

// hasArrivingTask reports whether a long-running task on a worker has been started a
// moment ago.
func (l *loop) hasArrivingTask(u *usage, w *worker, now time.Time) bool {
	tasks := u.load(w).longRunning
	for i := range tasks {
		if r := l.runs.Get(tasks[i].id); r != nil && tasks[i].isArriving(r, now) {
			return true
		}
	}
	return false
}

// logHeld logs how many VMs wait for what reason although their waves let them go down.
func (l *loop) logHeld(held map[error]int, now time.Time) {
	if len(held) == 0 || now.Before(l.maintenance.nextHeldLog) {
		return
	}
	l.maintenance.nextHeldLog = now.Add(heldLogInterval)
	l.Log.Info("VMs wait to be cordoned for maintenance", "no_room", held[relocation.ErrNoRoom], "too_few_open", held[relocation.ErrTooFewOpen],
		"pool_busy", held[errPoolBusy], "task_arriving", held[errTaskArriving], "needed", held[errNeeded])
}

// logLifted logs the VMs that were cordoned before this round, wait for their
// maintenance, and take tasks again.
func (l *loop) logLifted() {
	for id, since := range l.maintenance.previously {
		if l.maintenance.due[id] && !l.maintenance.isCordoned(id) {
			liftedCordons.Inc()
			l.Log.Info("cordon of VM lifted before its maintenance", "vm", id, "cordoned_ms", time.Since(since).Milliseconds())
		}
	}
}

// cordonVM keeps new tasks from a VM. It orders the maintenance once no
// long-running task executes there and the short tasks have ended, drainTime has
// passed or the wave is urgent. The maintenance interrupts the short tasks that
// are left.
func (l *loop) cordonVM(u *usage, c *cordonCandidate, now time.Time) {
	id, wave := c.entry.vm.ID, c.pressure.wave
	since, known := l.maintenance.cordon(id, now)
	if !known {
		l.Log.Info("VM cordoned for maintenance", "wave", wave.Number, "vm", id, "pool", c.entry.vm.Pool, "class", c.class, "pressure", c.utilization,
			"long_running", c.longRunning, "urgent", c.pressure.urgent)
	}
	if !l.mayOrderVM(now) || now.Before(c.entry.pausedUntil) || (c.worker != nil && !l.readyForMaintenance(u, c.worker, since, c.pressure.urgent, now)) {
		return
	}
	if c.rank != rankOrdered {
		c.entry.ownWave = wave.Number
	}
	l.orderVM(c.entry, vmOrder{wave: wave.Number}, now)
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
