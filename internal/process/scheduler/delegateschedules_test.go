package scheduler

import (
	"testing"
	"time"
)

const (
	// scheduleDelegates is the number of delegates in a schedule.
	scheduleDelegates = 3
	// longestFreeze is the longest time for which a delegate is frozen, muted or slow.
	longestFreeze = 9 * time.Second
	// delegateSeeds is how many times fewer schedules have delegates.
	delegateSeeds = 8
)

// TestRandomSchedulesOfDelegates is TestRandomSchedulesOfRuns with delegates between
// leaders and workers, which are frozen for seconds, lose answers, or relay them late, and
// runs that outlast leases.
func TestRandomSchedulesOfDelegates(t *testing.T) {
	margins := &leaseMargins{}
	margins.log(t)
	eachSeed(t, delegateSeeds, func(t *testing.T, seed uint64) {
		s := newDelegateSchedule(t, seed)
		s.margins = margins
		s.run()
		time.Sleep(longestFreeze)
	})
}

func newDelegateSchedule(t *testing.T, seed uint64) *schedule {
	s := newSchedule(t, seed)
	delegates := newFakeDelegates(s.calls, scheduleDelegates)
	s.leaderCalls = delegates
	s.furtherEvent = func() { delegates.disturbOne(s) }
	s.afterFaults = delegates.recoverAll
	s.outlastLeases()
	return s
}

// disturbOne disturbs a delegate at random.
func (f *fakeDelegates) disturbOne(s *schedule) {
	if s.random.IntN(3) > 0 {
		return
	}
	d := f.list[s.random.IntN(len(f.list))]
	until := time.Now().Add(time.Duration(s.random.Int64N(int64(longestFreeze))))
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s.random.IntN(4) {
	case 0, 1:
		d.frozenUntil = until
	case 2:
		d.mutedUntil = until
	case 3:
		d.slowUntil = until
	}
}

// recoverAll ends all disturbances.
func (f *fakeDelegates) recoverAll() {
	for _, d := range f.list {
		d.mu.Lock()
		d.frozenUntil, d.mutedUntil, d.slowUntil = time.Time{}, time.Time{}, time.Time{}
		d.mu.Unlock()
	}
}
