package scheduler

import (
	"testing"
	"time"
)

// TestLeaseOnASlowClockEndsWithinLeaseTime guards against two runs of a task: a new leader counts on leases of the former one that end leaseTime after its first contact.
func TestLeaseOnASlowClockEndsWithinLeaseTime(t *testing.T) {
	for _, age := range []time.Duration{0, maxAnswerAge, 5 * time.Second} {
		read := time.Now()
		w := &worker{clockMS: 1000, clockAt: read}
		slowest := w.clockMS + int64(float64(age.Milliseconds())*(1-clockDrift))
		until := w.grantLease(read.Add(age))
		if until > slowest+leaseTime.Milliseconds() {
			t.Errorf("granted %s after the reading: until %d on a clock that shows %d", age, until, slowest)
		}
	}
}
