package delegate

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxDelay is the delay of a message, beyond that of the fastest one of
	// its sender, from which on its calls are no longer made. Together with the
	// longest call it is less than the time for which a leader allows for
	// stray calls.
	maxDelay = 700 * time.Millisecond
	// delayWindow is the time after which the fastest message is forgotten, so
	// that a restart of the sender's clock has a limited effect.
	delayWindow = 10 * time.Second
)

// clockMS reads a clock that counts the time in which the machine is suspended.
func clockMS() int64 {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		// The clock exists on every supported kernel; without it no message is
		// found to be late.
		return 0
	}
	return now.Nano() / int64(time.Millisecond)
}

// freshness tells how late the messages of one sender are, although its clock
// has another origin than the local one: later than the fastest message of the
// present and the previous window.
type freshness struct {
	windowStartMS     int64
	current, previous int64
	known             bool
}

// fresh records a message that was sent and received at the given times and
// reports whether its delay is at most maxDelay.
func (f *freshness) fresh(sentMS, receivedMS int64) bool {
	offset := receivedMS - sentMS
	switch {
	case !f.known:
		*f = freshness{windowStartMS: receivedMS, current: offset, previous: offset, known: true}
	case receivedMS-f.windowStartMS > delayWindow.Milliseconds():
		f.windowStartMS, f.previous, f.current = receivedMS, f.current, offset
	}
	f.current = min(f.current, offset)
	return offset-min(f.current, f.previous) <= maxDelay.Milliseconds()
}
