package driver

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clockResolution is the time for which a reading of the boot clock is carried
// forward by the monotonic clock. The boot clock costs a system call.
const clockResolution = time.Millisecond

// bootClock reads a clock that counts the time in which the machine is suspended,
// unlike the monotonic clock of the time package. It is safe for concurrent use.
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
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		// The clock exists on every supported kernel.
		return monotonic
	}
	reading := &clockReading{monotonic: monotonic, boot: time.Duration(now.Nano())}
	c.last.Store(reading)
	return reading.boot
}
