package scheduler

import (
	"cmp"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const (
	// upkeepRound is how long one round of a wave takes: tasks end, the VM
	// is away, and comes back.
	upkeepRound = 5 * time.Second
	// upkeepReserve is kept at the end of a wave for what goes wrong.
	upkeepReserve = 5 * time.Second
	// missingGrace is how long after a wave's deadline, and missingTime how
	// long at all, a VM that is not listed counts as one that stays.
	missingGrace = time.Second
	missingTime  = 5 * time.Second
	// emptyTime is how long a VM waits for its short tasks to end while its
	// wave has time.
	emptyTime = 6 * time.Second
)

// upkeepState is what the leader knows of VMs whose upkeep comes next.
type upkeepState struct {
	// held are the VMs that take no new tasks until their upkeep, and
	// since when.
	held map[string]time.Time
	// due are all VMs of waves that have not had their upkeep.
	due map[string]bool
	// missing holds since when a VM of a wave is not listed.
	missing map[string]time.Time
}

func (u *upkeepState) holds(vm string) bool {
	_, held := u.held[vm]
	return vm != "" && held
}

// upkeepClass orders the VMs of a wave by what their upkeep costs callers.
type upkeepClass uint8

const (
	// switchedOff VMs serve nobody, idle ones nobody now.
	switchedOff upkeepClass = iota
	idle
	// busy VMs have tasks that end or leave first.
	busy
)

// upkeepVM is a VM that waits for its upkeep.
type upkeepVM struct {
	entry *vmEntry
	// worker is nil on a VM that is switched off.
	worker *worker
	class  upkeepClass
	// pressure is the share of its pool's capacity that is in use.
	pressure float64
}

// busyPool is the pressure from which a pool's busy VMs wait for a lull, as
// long as their wave has time.
const busyPool = 0.5

// planUpkeep takes waves of upkeep further.
func (l *loop) planUpkeep(v *workstate.View, u *usage, now time.Time) {
	held := l.upkeep.held
	l.upkeep.held = map[string]time.Time{}
	l.upkeep.due = map[string]bool{}
	if l.fleet.listedAt.IsZero() {
		return
	}
	for _, wave := range v.Waves() {
		if !wave.Finished() {
			l.planWave(v, u, wave, held, now)
		}
	}
}

// planWave holds as many VMs of a wave as may be away, empties them and
// orders their upkeep.
func (l *loop) planWave(v *workstate.View, u *usage, wave *workstate.Wave, held map[string]time.Time, now time.Time) {
	room := wave.Cap
	var waiting []upkeepVM
	for _, id := range wave.VMs {
		e := l.fleet.entries[id]
		if e != nil {
			delete(l.upkeep.missing, id)
		}
		switch {
		case e == nil:
			l.missingFromWave(wave, id, now)
		case e.order != nil && e.order.pool == "" && e.order.wave == wave.Number:
			room--
			l.repeatUpkeep(e, now)
		case e.vm.State == execution.VMMaintenance:
			room--
		case !wave.Started[id]:
			l.upkeep.due[id] = true
			waiting = append(waiting, newUpkeepVM(v, u, e))
		}
	}
	l.holdAndOrder(u, wave, waiting, room, held, now)
}

// missingFromWave gives a VM up that the platform does not list: one may be
// missing for some seconds and come back, so that only the end of the wave
// tells.
func (l *loop) missingFromWave(wave *workstate.Wave, id string, now time.Time) {
	if _, known := l.upkeep.missing[id]; !known {
		l.upkeep.missing[id] = now
	}
	overdue := time.Duration(l.Now().UnixMilli()-wave.DeadlineMS) * time.Millisecond
	if wave.Started[id] || overdue < missingGrace || now.Sub(l.upkeep.missing[id]) < missingTime || now.Sub(l.fleet.listedAt) > listInterval {
		return
	}
	l.Log.Info("VM of a wave is gone", "wave", wave.Number, "vm", id, "overdue_ms", overdue.Milliseconds())
	l.noteUpkeep(wave.Number, id)
}

// repeatUpkeep asks again for an upkeep whose order got no answer.
func (l *loop) repeatUpkeep(e *vmEntry, now time.Time) {
	if !e.calling && e.vm.State == execution.VMUp && now.After(e.pausedUntil) && l.mayOrder(now) {
		l.orderVM(e, *e.order, now)
	}
}

func newUpkeepVM(v *workstate.View, u *usage, e *vmEntry) upkeepVM {
	vm := upkeepVM{entry: e, worker: u.workerOn[e.vm.ID], class: busy, pressure: u.pressure[e.vm.Pool]}
	switch {
	case e.isStandby(v):
		vm.class = switchedOff
	case vm.worker == nil || u.runs[vm.worker.reg.ID] == 0:
		vm.class = idle
	}
	return vm
}

// holdAndOrder orders the upkeep of empty VMs and holds others.
func (l *loop) holdAndOrder(u *usage, wave *workstate.Wave, waiting []upkeepVM, room int, held map[string]time.Time, now time.Time) {
	slices.SortStableFunc(waiting, func(a, b upkeepVM) int {
		return cmp.Or(cmp.Compare(heldRank(held, a), heldRank(held, b)), cmp.Compare(a.class, b.class),
			cmp.Compare(a.pressure, b.pressure), cmp.Compare(a.entry.vm.ID, b.entry.vm.ID))
	})
	left := time.Duration(wave.DeadlineMS-l.Now().UnixMilli()) * time.Millisecond
	rounds := (len(waiting) + wave.Cap - 1) / wave.Cap
	pressed := left < time.Duration(rounds)*upkeepRound+upkeepReserve
	for _, vm := range waiting {
		if room <= 0 {
			return
		}
		if vm.entry.away() || now.Before(vm.entry.pausedUntil) {
			continue
		}
		if !pressed && vm.class == busy && vm.pressure > busyPool {
			continue
		}
		room--
		l.holdVM(u, wave, vm, held, pressed, now)
	}
}

// heldRank puts the VMs that are held first.
func heldRank(held map[string]time.Time, vm upkeepVM) int {
	if _, ok := held[vm.entry.vm.ID]; ok {
		return 0
	}
	return 1
}

// holdVM keeps new tasks from a VM, and orders its upkeep once nothing runs
// there that is better left to end.
func (l *loop) holdVM(u *usage, wave *workstate.Wave, vm upkeepVM, held map[string]time.Time, pressed bool, now time.Time) {
	id := vm.entry.vm.ID
	since, known := held[id]
	if !known {
		since = now
		l.Log.Info("VM held for its upkeep", "wave", wave.Number, "vm", id, "pool", vm.entry.vm.Pool, "class", vm.class, "pressure", vm.pressure)
	}
	l.upkeep.held[id] = since
	if !l.mayOrder(now) || (vm.worker != nil && !l.emptied(u, vm.worker, since, pressed, now)) {
		return
	}
	l.orderVM(vm.entry, vmOrder{wave: wave.Number}, now)
}

// emptied says whether a VM may go down, and stops the long-running tasks
// there as far as their disruption budgets allow.
func (l *loop) emptied(u *usage, w *worker, since time.Time, pressed bool, now time.Time) bool {
	if u.runs[w.reg.ID] == 0 {
		return true
	}
	l.evacuate(u, w, now)
	if u.lastingRuns[w.reg.ID] > 0 {
		return false
	}
	return pressed || now.Sub(since) > emptyTime
}

// evacuate stops long-running tasks of a worker, so that they start
// elsewhere.
func (l *loop) evacuate(u *usage, w *worker, now time.Time) {
	for _, t := range u.lastingTasks {
		if t.worker != w.reg.ID {
			continue
		}
		r := l.runs[t.id]
		if r == nil || r.phase == runStopping || r.phase == runStopped || r.calling {
			continue
		}
		key := stepKeyOf(t.id)
		// The report may be older than the task's begin of work, so that a
		// task counts as available for itself whatever it shows.
		others := u.unavailable[key]
		if !t.atWork {
			others--
		}
		if t.budget >= 0 && others >= t.budget {
			continue
		}
		u.unavailable[key] = others + 1
		l.Log.Info("long-running task leaves its VM", "task", t.id.String(), "run", r.number, "worker", w.reg.ID, "unavailable", u.unavailable[key], "budget", t.budget)
		l.stop(t.id, r, now)
	}
}

// stepKey names one step of one occurrence.
type stepKey struct {
	job              string
	occurrence, step int
}

// lastingTask is a long-running task that executes.
type lastingTask struct {
	id     workload.TaskID
	worker string
	charge workload.Resources
	// budget and maxPerWorker are the step's.
	budget, maxPerWorker int
	// atWork says that its worker's newest report shows it at work.
	atWork bool
}

// noteLasting counts a long-running task against its step's budget unless
// it is at work.
func (u *usage) noteLasting(id workload.TaskID, task *workstate.Task, step *workload.Step, atWork bool) {
	u.lastingTasks = append(u.lastingTasks, lastingTask{
		id: id, worker: task.Worker, charge: step.Charge(), budget: step.DisruptionBudget, maxPerWorker: step.MaxPerWorker, atWork: atWork,
	})
	u.lastingRuns[task.Worker]++
	u.stepOnWorker[stepOnWorker{stepKeyOf(id), task.Worker}]++
	if !atWork {
		u.unavailable[stepKeyOf(id)]++
	}
}

// noteEnding counts a long-running task whose run has ended.
func (u *usage) noteEnding(id workload.TaskID, step *workload.Step) {
	if step.LongRunning {
		u.unavailable[stepKeyOf(id)]++
	}
}

// atWork says whether a long-running task was at work when its worker last
// answered, and nothing was ordered since.
func (l *loop) atWork(id workload.TaskID, task *workstate.Task, r *run) bool {
	w := l.workers[task.Worker]
	if w == nil || w.report == nil || w.silent || r.phase != runOrdered {
		return false
	}
	return w.report.running[runKey{id, task.Run}].Percent == atWorkPercent
}

// atWorkPercent is what a report shows for a long-running task at work.
const atWorkPercent = 100
