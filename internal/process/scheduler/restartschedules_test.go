package scheduler

import (
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

const (
	// slowestCrossing is the longest delay of an order that crosses a restart.
	slowestCrossing = 12 * time.Second
	// learningTime is how long after its registration a leader's calls may still
	// be for the former incarnation of a worker.
	learningTime = 2 * tickInterval
)

// TestRandomSchedulesOfRestarts is TestRandomSchedulesOfRuns with workers that mostly
// restart under their ids, orders that are executed up to 12 s late, and calls that
// arrive at the next incarnation once a leader has contacted it.
func TestRandomSchedulesOfRestarts(t *testing.T) {
	eachSeed(t, quarterOfSeeds, func(t *testing.T, seed uint64) {
		s := newRestartSchedule(t, seed)
		s.calls.crosses = s.contacted
		s.run()
	})
}

// TestRandomSchedulesOfRestartsBeforeContact is the same with calls that arrive at the
// next incarnation from its start on.
func TestRandomSchedulesOfRestartsBeforeContact(t *testing.T) {
	eachSeed(t, quarterOfSeeds, func(t *testing.T, seed uint64) { newRestartSchedule(t, seed).run() })
}

func newRestartSchedule(t *testing.T, seed uint64) *schedule {
	s := newSchedule(t, seed)
	s.workers.slowestOrder = slowestCrossing
	s.calls.crosses = func(*fakeWorker) bool { return true }
	s.calls.onReport = s.recordContact
	return s
}

// recordContact records that a leader that knew an incarnation of a worker has got a
// report of it.
func (s *schedule) recordContact(to execution.WorkerAddress, sentAt time.Time, report execution.Report) {
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	w := s.workers.workers[to.ID]
	if report.Refusal != execution.Accepted || w == nil || w.incarnation != report.Incarnation {
		return
	}
	if w.registeredAt.IsZero() && s.registered(w) {
		w.registeredAt = time.Now()
	}
	if !w.registeredAt.IsZero() && sentAt.Sub(w.registeredAt) >= learningTime {
		w.contacted = true
	}
}

func (s *schedule) registered(w *fakeWorker) bool {
	registered := false
	s.machine.Read(func(v *workstate.View) {
		reg := v.Workers()[w.id]
		registered = reg != nil && reg.Incarnation == w.incarnation
	})
	return registered
}

// contacted reports whether a leader has contacted an incarnation of a worker.
func (s *schedule) contacted(w *fakeWorker) bool {
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	return w.contacted
}
