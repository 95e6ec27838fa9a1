// Package boottime reads a clock that counts the time in which the machine is
// suspended, unlike the monotonic clock of the time package.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted. It reports false if the
// kernel has no such clock; every supported one has. Each call costs a system call.
func Now() (sinceBoot time.Duration, known bool) {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0, false
	}
	return time.Duration(now.Nano()), true
}
