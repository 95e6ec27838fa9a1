package scheduler

import (
	"testing"
	"time"
)

// TestRoundWithLongRunningTasksCostsNotTheSquareOfTheFleet guards against rounds of a large fleet that leave no processor time for the starts of short tasks.
func TestRoundWithLongRunningTasksCostsNotTheSquareOfTheFleet(t *testing.T) {
	const small, factor = 250, 8
	prepare := func(workers int) *loop {
		l := loadedLeader(t, workers, 0, 0)
		l.listVMsOfWorkers()
		l.Limits.ActionRate = 4
		l.fillWithLongRunning(t, workers, 8000)
		return l
	}
	base, grown := leastRoundTimes(prepare(small), prepare(factor*small))
	t.Logf("a round takes %s with %d workers and %s with %d", base, small, grown, factor*small)
	// In proportion to the fleet it is 8 times as much, to its square 64 times.
	if grown > 3*factor*base {
		t.Errorf("a round of %d times the fleet costs %.1f times as much", factor, grown.Seconds()/base.Seconds())
	}
}

// leastRoundTimes returns the times of the shortest rounds of two leaders. They are
// measured in turns, so that a time in which the machine is busy lengthens the rounds of
// both.
func leastRoundTimes(a, b *loop) (time.Duration, time.Duration) {
	const turns, roundsPerTurn = 10, 10
	leastA, leastB := time.Hour, time.Hour
	for range turns {
		leastA = min(leastA, a.leastRoundTime(roundsPerTurn))
		leastB = min(leastB, b.leastRoundTime(roundsPerTurn))
	}
	return leastA, leastB
}

// leastRoundTime returns the time of the shortest of a number of rounds that plan the
// fleet.
func (l *loop) leastRoundTime(rounds int) time.Duration {
	least := time.Hour
	for range rounds {
		start := time.Now()
		l.roundInABurst()
		least = min(least, time.Since(start))
	}
	return least
}
