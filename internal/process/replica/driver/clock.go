package driver

import (
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/boottime"
)

// clockResolution is the time for which a reading of the boot clock is carried
// forward by the monotonic clock.
const clockResolution = time.Millisecond

// bootClock reads the boot clock at most once per clockResolution. It is safe for
// concurrent use.
type bootClock struct {
	start time.Time
	last  atomic.Pointer[clockReading]
}

// clockReading holds the readings of both clocks at one moment.
type clockReading struct{ monotonic, boot time.Duration }

func newBootClock() *bootClock { return &bootClock{start: time.Now()} }

func (c *bootClock) now() time.Duration {
	monotonic := time.Since(c.start)
	if last := c.last.Load(); last != nil && monotonic-last.monotonic < clockResolution {
		return last.boot + monotonic - last.monotonic
	}
	boot, known := boottime.Now()
	if !known {
		return monotonic
	}
	reading := &clockReading{monotonic: monotonic, boot: boot}
	c.last.Store(reading)
	return reading.boot
}
