package driver

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/replica/core"
)

// stopSignal returns a channel that is closed when Stop is called, or nil
// once the stop has begun.
func (l *loop) stopSignal() <-chan struct{} {
	if !l.transferDeadline.IsZero() {
		return nil
	}
	return l.stopping.Done()
}

// beginStop starts a leadership transfer, if another voter can lead.
func (l *loop) beginStop() {
	l.transferDeadline = time.Now()
	if l.core.TransferLeadership() {
		l.transferDeadline = time.Now().Add(transferTimeout)
	}
}

// finished reports whether the replica is stopping and the leadership
// transfer has succeeded or timed out.
func (l *loop) finished() bool {
	if l.transferDeadline.IsZero() {
		return false
	}
	return l.core.Role() != core.Leader || time.Now().After(l.transferDeadline)
}
