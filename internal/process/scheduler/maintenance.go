package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

const (
	// A VM of a wave that the platform does not list is abandoned once it has
	// been missing for missingTime and the wave's deadline has passed by
	// missingGrace.
	missingGrace = time.Second
	missingTime  = 5 * time.Second
)

// maintenanceState is what the leader knows about the VMs of unfinished waves.
type maintenanceState struct {
	// cordoned holds the VMs that get no new tasks until their maintenance,
	// with the time since when. previously holds those of the round before.
	cordoned, previously map[string]time.Time
	// due is the set of all VMs of waves whose maintenance has not started.
	due map[string]bool
	// dueAgain is the set of VMs that are down, or about to go down, and whose
	// maintenance for another wave has not started.
	dueAgain map[string]bool
	// missing holds the time since when a VM of a wave has not been listed.
	missing map[string]time.Time
	// interrupted holds the VMs whose long-running tasks had no other place when
	// they were cordoned, with the time of that.
	interrupted map[string]time.Time
	nextHeldLog time.Time
}

// startRound empties what each round determines anew.
func (m *maintenanceState) startRound() {
	m.previously = m.cordoned
	m.cordoned = map[string]time.Time{}
	m.due = map[string]bool{}
	m.dueAgain = map[string]bool{}
}

// isCordoned reports whether a VM is cordoned for its maintenance.
func (m *maintenanceState) isCordoned(vm string) bool {
	_, cordoned := m.cordoned[vm]
	return vm != "" && cordoned
}

// cordon cordons a VM, and returns since when it is and whether it was before.
func (m *maintenanceState) cordon(vm string, now time.Time) (since time.Time, known bool) {
	since, known = m.previously[vm]
	if !known {
		since = now
	}
	m.cordoned[vm] = since
	return since, known
}

// waveRound is what one round determines about an unfinished wave.
type waveRound struct {
	wave *workstate.Wave
	// waiting lists the VMs that wait for their maintenance.
	waiting []maintenanceVM
	// available is the number of VMs that may still go down for the wave.
	available int
}

// surveyWaves determines what is left of all unfinished waves, by number. Orders for
// maintenance that got no answer are repeated.
func (l *loop) surveyWaves(v *workstate.View, u *usage, now time.Time) []*waveRound {
	l.maintenance.startRound()
	l.cordonOrdered(v, now)
	if !l.fleet.listed {
		return nil
	}
	var rounds []*waveRound
	for _, wave := range v.Waves() {
		if !wave.Finished() {
			rounds = append(rounds, l.surveyWave(v, u, wave, now))
		}
	}
	slices.SortFunc(rounds, func(a, b *waveRound) int { return cmp.Compare(a.wave.Number, b.wave.Number) })
	l.closeOrdersOfFinishedWaves(v)
	maps.DeleteFunc(l.maintenance.interrupted, func(vm string, _ time.Time) bool { return !l.maintenance.due[vm] })
	return rounds
}

// cordonOrdered cordons the VMs whose maintenance was ordered and has not settled, as
// far as an order may still be executed.
func (l *loop) cordonOrdered(v *workstate.View, now time.Time) {
	for _, wave := range v.Waves() {
		if wave.Finished() {
			continue
		}
		for id := range wave.Ordered {
			if !wave.Settled[id] && l.mayBeExecuted(wave, id) {
				l.maintenance.cordon(id, now)
			}
		}
	}
}

// mayBeExecuted reports whether an order of this leader or of a former one may still
// start the maintenance of a VM.
func (l *loop) mayBeExecuted(wave *workstate.Wave, id string) bool {
	e := l.fleet.entries[id]
	return wave.Ordered[id] && (e == nil || !e.refused)
}

// surveyWave determines which VMs of a wave wait and how many may go down.
func (l *loop) surveyWave(v *workstate.View, u *usage, wave *workstate.Wave, now time.Time) *waveRound {
	r := &waveRound{wave: wave, available: wave.Cap}
	for _, id := range wave.VMs {
		e := l.fleet.entries[id]
		if e != nil {
			delete(l.maintenance.missing, id)
		}
		switch {
		case e == nil:
			l.handleMissingVM(wave, id, now)
			if l.maybeInMaintenance(wave, id, now) {
				r.available--
			}
		case e.order != nil && e.order.pool == "" && e.order.wave == wave.Number:
			r.available--
			l.settleListed(v, wave, e)
			l.repeatOrder(e, now)
		case e.vm.State == execution.VMMaintenance:
			r.available--
			if !wave.Settled[id] {
				l.maintenance.dueAgain[id] = true
			}
		case !wave.Settled[id]:
			l.maintenance.due[id] = true
			r.waiting = append(r.waiting, l.newMaintenanceVM(v, u, wave, e))
		}
	}
	return r
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
