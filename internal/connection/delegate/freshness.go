package delegate

import (
	"time"

	"arbutusward.example/arbutusward/internal/boottime"
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

// clockMS returns the time of the boot clock in milliseconds.
func clockMS() int64 {
	// Without the clock the time is 0, and no message is found to be late.
	now, _ := boottime.Now()
	return now.Milliseconds()
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
