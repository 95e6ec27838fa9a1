package scheduler

import (
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/process/workerlease"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const (
	// longRunInterval is the interval of the runs that outlast leases, and longestRun
	// the longest of them.
	longRunInterval = 2
	longestRun      = 10 * time.Second
	// longCutInterval is the interval of the events with which a worker is cut off for
	// longer than a lease.
	longCutInterval = 4
	// longRunsCalmTime is the time without faults in which jobs with such runs must end.
	longRunsCalmTime = 90 * time.Second
)

// outlastLeases cuts off workers for longer than their leases, makes some runs outlast
// these, and half of the workers' clocks as slow as allowed.
func (s *schedule) outlastLeases() {
	short := s.workers.durationOf
	s.workers.durationOf = func(task workload.TaskID, run int) time.Duration {
		if draw := s.calls.draw("long", task, run); draw%longRunInterval == 0 {
			return time.Duration(draw >> 20 % uint64(longestRun))
		}
		return short(task, run)
	}
	s.slowestClocks, s.calm = true, longRunsCalmTime
	further := s.furtherEvent
	s.furtherEvent = func() {
		if s.random.IntN(longCutInterval) == 0 {
			s.cutOff(s.random.IntN(scheduleVMs), workerlease.Duration+time.Duration(s.random.Int64N(int64(longestRun-workerlease.Duration))))
		}
		if further != nil {
			further()
		}
	}
}

// leaseMargins collects how long before the state recorded the ends of runs the leases
// of their workers had ended. It is safe for concurrent use.
type leaseMargins struct {
	mu    sync.Mutex
	ends  int
	least time.Duration
}

func (m *leaseMargins) add(margin time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ends == 0 || margin < m.least {
		m.least = margin
	}
	m.ends++
}

// log logs the least margin when the test ends.
func (m *leaseMargins) log(t *testing.T) {
	t.Cleanup(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		t.Logf("%d runs ended with leases; the end was recorded %s after that of the lease or later", m.ends, m.least)
	})
}

// checkCommit checks the workers after a command.
func (s *schedule) checkCommit(command []byte) {
	s.recordStarts(command)
	s.checkEndedRuns(command)
}

// checkEndedRuns reports the runs that execute on a worker although a command records
// their end, so that their tasks may start elsewhere.
func (s *schedule) checkEndedRuns(command []byte) {
	var c workstate.Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		s.t.Error(err)
		return
	}
	if c.Progress == nil || len(c.Progress.Ends) == 0 {
		return
	}
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	for _, w := range s.workers.workers {
		s.workers.advance(w)
		for _, end := range c.Progress.Ends {
			s.checkEnded(w, &end)
		}
	}
}

func (s *schedule) checkEnded(w *fakeWorker, end *workstate.End) {
	key := runKey{end.Task, end.Run}
	if r := w.running[key.task]; r != nil && r.run == key.run {
		s.t.Errorf("seed %d: %s run %d executes on %s with %d ms of its lease left, its end is recorded", s.seed, key.task, key.run, w.id, w.leaseMS-w.clock())
	}
	if leaseEnd, lapsed := w.lapsedMS[key]; lapsed && end.Unreported {
		s.margins.add(time.Duration(w.clock()-leaseEnd) * time.Millisecond)
	}
}
