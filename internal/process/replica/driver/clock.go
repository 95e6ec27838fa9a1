package driver

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of the fallback in bootClock.
var processStart = time.Now()

// bootClock reads a clock that counts the time in which the machine is suspended,
// unlike the monotonic clock of the time package.
func bootClock() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}
