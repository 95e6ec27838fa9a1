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
	// strayLeaseSeeds is how many times fewer schedules have stray leases, and
	// strayLeaseInterval the interval of the events with which a worker gets one.
	strayLeaseSeeds, strayLeaseInterval = 8, 6
	// latestStray is how long after the start of an incarnation a stray lease is granted,
	// half of them at once. The worker is cut off after soonestCut to latestCut, for
	// shortestLongCut or up to twice that.
	latestStray           = 20 * time.Millisecond
	soonestCut, latestCut = 500 * time.Millisecond, 3 * time.Second
	shortestLongCut       = 9 * time.Second
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

// TestRandomSchedulesOfStrayLeases is TestRandomSchedulesOfRuns with workers that restart
// under their ids, get a lease by a call to the former incarnation, mostly before the
// leader's first call, and are soon cut off for longer than that lasts, and runs that
// outlast leases.
func TestRandomSchedulesOfStrayLeases(t *testing.T) {
	margins := &leaseMargins{}
	margins.log(t)
	eachSeed(t, strayLeaseSeeds, func(t *testing.T, seed uint64) {
		s := newSchedule(t, seed)
		s.margins, s.calls.kept = margins, map[string]keptCalls{}
		s.furtherEvent = func() {
			if s.random.IntN(strayLeaseInterval) == 0 {
				s.grantStrayLease(s.random.IntN(scheduleVMs))
			}
		}
		s.outlastLeases()
		s.run()
	})
}

// grantStrayLease restarts the worker of a VM under its id and grants it a stray lease,
// before and after which the leader may change, and cuts it off.
func (s *schedule) grantStrayLease(vm int) {
	id := s.current[vm].id
	calls := s.calls.takeKept(id)
	s.crash(vm)
	s.startWorker(vm, id)
	w, byStart := s.current[vm], s.random.IntN(2) == 0
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(s.random.Int64N(int64(most-least)))
	}
	stray, cut, span := max(0, between(-latestStray, latestStray)), between(soonestCut, latestCut), between(shortestLongCut, 2*shortestLongCut)
	s.group.Go(func() {
		time.Sleep(stray)
		s.calls.grantStray(id, calls, byStart)
		time.Sleep(cut)
		s.cutOffWorker(w, span)
	})
	s.submitRandom()
	if s.random.IntN(3) == 0 {
		s.startLeader(time.Duration(s.random.IntN(1200)) * time.Millisecond)
	}
}
