package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// announcementSlack is the time after the heartbeat that announces a smaller
// capacity within which starts may still count on the former one.
const announcementSlack = time.Second

// heartbeatInterval is the interval of heartbeats, and capacityGrace the time for
// which a capacity that has shrunk counts after the next one, whether or not that has
// arrived.
const (
	heartbeatInterval = 500 * time.Millisecond
	capacityGrace     = 3 * time.Second
)

// capacityLimit is the capacity up to which a worker that does not enforce it may
// get starts.
type capacityLimit struct {
	// former is the largest capacity before a change. It counts until
	// formerUntil; zero means that the change is not announced.
	former      workload.Resources
	formerUntil time.Time
	// countsUntil is when the former capacity counts no more though the change is
	// not announced.
	countsUntil time.Time
	// sequence is the number of the last heartbeat.
	sequence int64
}

// stopEnforcingCapacity makes the workers of "svc" start whatever they are told.
func (f *fixture) stopEnforcingCapacity() {
	c := testCatalog()
	c.Version++
	c.Services[0].EnforcesCapacity = false
	f.commit(&workstate.Command{Catalog: c})
}

func larger(a, b workload.Resources) workload.Resources {
	return workload.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPU: max(a.GPU, b.GPU)}
}

// resize changes the capacity of a worker.
func (w *fakeWorker) resize(milliCPU int64) {
	former := w.capacity
	if time.Now().Before(w.limit.countsUntil) && (w.limit.formerUntil.IsZero() || time.Now().Before(w.limit.formerUntil)) {
		former = larger(former, w.limit.former)
	}
	w.limit.former, w.limit.formerUntil = former, time.Time{}
	w.limit.countsUntil = time.Now().Add(heartbeatInterval + capacityGrace)
	w.capacity.MilliCPU = milliCPU
}

// announce returns the number of the next heartbeat, which announces the present
// capacity.
func (w *fakeWorker) announce() int64 {
	w.limit.sequence++
	if w.limit.formerUntil.IsZero() {
		w.limit.formerUntil = time.Now().Add(announcementSlack)
	}
	return w.limit.sequence
}

// heard returns what the leader hears of a heartbeat that the worker sends now.
func (w *fakeWorker) heard() workcall.HeardHeartbeat {
	capacity := w.capacity
	return workcall.HeardHeartbeat{Worker: w.id, Incarnation: w.incarnation, Sequence: w.limit.sequence, ClockMS: w.clock(), Capacity: &capacity}
}

// limitAt returns the capacity up to which a start may be executed. An order that is
// late by up to the given time may count on the capacity at the time at which it was
// sent.
func (w *fakeWorker) limitAt(now time.Time, lateBy time.Duration) workload.Resources {
	until := w.limit.countsUntil
	if announced := w.limit.formerUntil; !announced.IsZero() && announced.Before(until) {
		until = announced
	}
	if now.Before(until.Add(lateBy)) {
		return larger(w.capacity, w.limit.former)
	}
	return w.capacity
}

// checkLimit reports a start that brings a worker over its capacity. What is being
// stopped still counts.
func (f *fakeWorkers) checkLimit(w *fakeWorker, task workload.TaskID, late bool) {
	charge := f.charge(task)
	if charge == (workload.Resources{}) {
		return
	}
	sum := charge
	for other := range w.running {
		sum = sum.Add(f.charge(other))
	}
	lateBy := time.Duration(0)
	if late {
		lateBy = f.slowestOrder
	}
	if limit := w.limitAt(time.Now(), lateBy); !limit.Fits(sum) {
		f.t.Errorf("LIMIT: the start of %s brings %s to %+v of %+v, late %v", task, w.id, sum, limit, late)
	}
}

// charge returns what a run of a task takes of its worker's capacity.
func (f *fakeWorkers) charge(task workload.TaskID) workload.Resources {
	spec, known := f.submitted[task.Job]
	if !known {
		return workload.Resources{}
	}
	return spec.Steps[task.Step].Charge()
}
