package scheduler

import (
	"testing"
)

// lateCallSeeds is how many times fewer schedules have late calls.
const lateCallSeeds = 8

// TestRandomSchedulesOfLateCalls is TestRandomSchedulesOfRuns with calls that are
// executed up to 12 s late, so that they may be those of any earlier leader, some of
// them twice, and runs that outlast leases.
func TestRandomSchedulesOfLateCalls(t *testing.T) {
	margins := &leaseMargins{}
	margins.log(t)
	eachSeed(t, lateCallSeeds, func(t *testing.T, seed uint64) {
		s := newSchedule(t, seed)
		s.outlastLeases()
		s.margins = margins
		s.workers.slowestOrder, s.calls.copies = slowestCrossing, true
		s.run()
	})
}
