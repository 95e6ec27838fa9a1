package workerlease

import (
	"testing"
	"time"
)

// TestLeaseOnASlowClockEndsWithinItsDuration guards against two runs of a task: a new leader counts on leases of the former one that end Duration after its first contact.
func TestLeaseOnASlowClockEndsWithinItsDuration(t *testing.T) {
	for _, age := range []time.Duration{0, 1600 * time.Millisecond, 5 * time.Second} {
		read := time.Now()
		b := NewBound(Origin{}, read)
		b.Record(1000, read)
		slowest := 1000 + int64(float64(age.Milliseconds())*(1-Drift))
		until := b.Grant(read.Add(age))
		if until > slowest+Duration.Milliseconds() {
			t.Errorf("granted %s after the reading: until %d on a clock that shows %d", age, until, slowest)
		}
	}
}
