package workstate

import (
	"cmp"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// applyRegister records a worker. If another worker has the same VM or address,
// the later incarnation replaces the earlier one, whose runs have ended with it.
// If the earlier one has crashed, the leader records the ends of these runs, since
// only the leader knows which of them may have crashed it. A registration by a
// heartbeat older than the known one, of an incarnation that has left or has a
// successor, or sent before its incarnation was found lost, has no effect.
func (m *Machine) applyRegister(w *Worker) Result {
	if left, removed := m.data.Left[w.ID]; removed && left.covers(w) {
		return Result{Code: OK, Repeated: true}
	}
	known := m.data.Workers[w.ID]
	if known != nil && !w.Replaces(known) {
		return Result{Code: OK, Repeated: true}
	}
	for id, other := range m.data.Workers {
		if id == w.ID || !sameAddressOrVM(other, w) {
			continue
		}
		if other.Incarnation > w.Incarnation || m.succeeds(other, w) {
			return Result{Code: OK, Repeated: true}
		}
		if crashed(other, w) {
			m.forgetWorker(other)
			continue
		}
		m.removeWorker(other)
	}
	registered := *w
	if known != nil && known.Draining && known.Incarnation == w.Incarnation {
		registered.Draining = true
	}
	registered.Leaving = known != nil && known.Leaving && known.Incarnation == w.Incarnation
	registered.EndsByOrder = newestOrderedEnd(known, w)
	registered.setOrigin(m.lastIncarnation(w.ID))
	m.data.Workers[w.ID] = &registered
	m.workersVersion++
	return Result{Code: OK}
}

// lastIncarnation returns what is known of the last incarnation with an id, which may be
// registered or removed.
func (m *Machine) lastIncarnation(id string) (last LeftWorker, known bool) {
	if w := m.data.Workers[id]; w != nil {
		return LeftWorker{Incarnation: w.Incarnation, Restarted: w.Restarted, FirstClockMS: w.FirstClockMS}, true
	}
	last, known = m.data.Left[id]
	return last, known
}

// setOrigin completes a registration with what is known of the last incarnation with the id,
// if one is known: another one than the worker's has restarted since.
func (w *Worker) setOrigin(last LeftWorker, known bool) {
	if !known || last.Incarnation != w.Incarnation {
		w.Restarted = known
		return
	}
	w.Restarted = last.Restarted
	w.FirstClockMS = cmp.Or(last.FirstClockMS, w.FirstClockMS)
}

// succeeds reports whether a registered worker has got runs in the place of a lost
// one, so that it has answered there since. Its incarnation is the later one then,
// also if clocks were set and it is the lower one.
func (m *Machine) succeeds(registered, lost *Worker) bool {
	left, known := m.data.Left[lost.ID]
	return known && left.Incarnation == lost.Incarnation && m.executing.onIncarnation(registered.ID, registered.Incarnation) > 0
}

// sameAddressOrVM reports whether two workers share an address or a VM, so that
// they cannot both be alive.
func sameAddressOrVM(a, b *Worker) bool {
	return a.Address == b.Address || (a.VM != "" && a.VM == b.VM)
}

// applyDeregister removes a worker that has ended. One that has announced its end
// while runs are recorded on it is marked as leaving instead.
func (m *Machine) applyDeregister(d *Deregister) Result {
	worker := m.data.Workers[d.ID]
	if worker == nil || worker.Incarnation != d.Incarnation || d.predates(worker) {
		return Result{Code: OK, Repeated: true}
	}
	if d.Announced && m.executing.on(worker.ID) > 0 {
		worker.Draining, worker.Leaving, worker.EndsByOrder = true, true, worker.Incarnation
		m.workersVersion++
		return Result{Code: Busy}
	}
	m.removeWorker(worker)
	left := LeftWorker{Incarnation: worker.Incarnation, Restarted: worker.Restarted, FirstClockMS: worker.FirstClockMS}
	switch {
	case d.Announced:
		m.recordLeft(worker.ID, left)
	case d.Sequence != nil:
		left.Lost, left.Sequence = true, *d.Sequence
		m.recordLeft(worker.ID, left)
	}
	return Result{Code: OK}
}

// predates reports whether a worker has registered since its deregistration was
// proposed.
func (d *Deregister) predates(worker *Worker) bool {
	return d.Sequence != nil && worker.Sequence > *d.Sequence
}

// leftMemoryMS is how long a worker that has left is remembered, longer than any
// of its heartbeats is on its way.
const leftMemoryMS = 60_000

// recordLeft keeps a heartbeat that arrives after its worker was removed from
// registering it again, and forgets those that were removed long ago.
func (m *Machine) recordLeft(id string, left LeftWorker) {
	for former, left := range m.data.Left {
		if m.data.ClockMS-left.AtMS > leftMemoryMS {
			delete(m.data.Left, former)
		}
	}
	left.AtMS = m.data.ClockMS
	m.data.Left[id] = left
}

// removeWorker removes a worker and interrupts the runs on it. Those of an earlier
// incarnation, which may have crashed, are left to the leader.
func (m *Machine) removeWorker(worker *Worker) {
	m.forgetWorker(worker)
	if m.executing.onIncarnation(worker.ID, worker.Incarnation) == 0 {
		return
	}
	for _, job := range m.active {
		for _, run := range job.RunsOn(worker.ID) {
			if job.Task(run.Task).Incarnation != worker.Incarnation {
				continue
			}
			m.applyEnd(&End{Task: run.Task, Run: run.Run, Kind: EndInterrupted, Unreported: true})
		}
	}
}

// forgetWorker removes a worker, but not the runs on it.
func (m *Machine) forgetWorker(worker *Worker) {
	delete(m.data.Workers, worker.ID)
	m.workersVersion++
}

// Run identifies one run of a task.
type Run struct {
	Task workload.TaskID
	Run  int
}

// RunsOn returns the executing runs of a job on a worker.
func (j *Job) RunsOn(worker string) []Run {
	var runs []Run
	j.EachExecuting(func(id workload.TaskID, task *Task) {
		if task.Worker == worker {
			runs = append(runs, Run{Task: id, Run: task.Run})
		}
	})
	return runs
}

// EachExecuting calls f for each task whose phase is Running.
func (j *Job) EachExecuting(f func(workload.TaskID, *Task)) {
	if j.Executing == 0 {
		return
	}
	for k := range j.Occurrences {
		for s := range j.Occurrences[k].Steps {
			if j.Occurrences[k].Steps[s].Running == 0 {
				continue
			}
			tasks := j.Occurrences[k].Steps[s].Tasks
			for i := range tasks {
				if tasks[i].Phase == Running {
					f(workload.TaskID{Job: j.ID, Occurrence: k, Step: s, Index: i}, &tasks[i])
				}
			}
		}
	}
}

// applyWave records a wave. A wave with a known number is a repetition.
func (m *Machine) applyWave(w *Wave) Result {
	if m.data.Waves[w.Number] != nil {
		return Result{Code: OK, Repeated: true}
	}
	wave := *w
	wave.Ordered = map[string]bool{}
	wave.Settled = map[string]bool{}
	m.data.Waves[w.Number] = &wave
	return Result{Code: OK}
}

// applyMaintenance records the progress of a VM in its wave.
func (m *Machine) applyMaintenance(r *Maintenance) Result {
	wave := m.data.Waves[r.Wave]
	if wave == nil {
		return Result{Code: UnknownJob}
	}
	if wave.Ordered == nil {
		wave.Ordered = map[string]bool{}
	}
	if wave.Settled == nil {
		wave.Settled = map[string]bool{}
	}
	wave.Ordered[r.VM] = true
	if r.Settled {
		wave.Settled[r.VM] = true
	} else {
		m.expectMaintenance(r.VM)
	}
	return Result{Code: OK}
}
