package driver

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/replica/core"
)

// confirmInterval is the minimum time between two confirmations of the
// leadership. Each costs messages to a majority and their answers, however many
// reads it serves.
const confirmInterval = 20 * time.Millisecond

// confirmations groups the calls of ReadBarrier, so that the messages for them
// are bounded by time and not by the number of calls.
type confirmations struct {
	// waiting holds the calls that the next confirmation serves.
	waiting []*read
	// startedAt is when the last confirmation started.
	startedAt time.Time
	// due fires when the next confirmation may start.
	due *time.Timer
}

func newConfirmations() confirmations { return confirmations{due: newStoppedTimer()} }

// newStoppedTimer returns a timer that fires only after a Reset.
func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// read queues a call and the calls behind it for the next confirmation. A call
// to a process that does not lead fails at once.
func (l *loop) read(first *read) {
	l.confirms.waiting = append(l.confirms.waiting, first)
	for more := true; more; {
		select {
		case r := <-l.Driver.reads:
			l.confirms.waiting = append(l.confirms.waiting, r)
		default:
			more = false
		}
	}
	wait := confirmInterval - time.Since(l.confirms.startedAt)
	if wait <= 0 || l.core.Role() != core.Leader {
		l.confirm()
		return
	}
	l.confirms.due.Reset(wait)
}

// confirm starts one confirmation for all waiting calls.
func (l *loop) confirm() {
	if len(l.confirms.waiting) == 0 {
		return
	}
	l.confirms.startedAt = time.Now()
	l.lastReadID++
	l.pendingReads[l.lastReadID] = l.confirms.waiting
	l.confirms.waiting = nil
	if err := l.core.ReadIndex(l.lastReadID); err != nil {
		l.finishReads(l.lastReadID, l.notLeader())
		return
	}
	confirmCount.Inc()
}

// finishReads answers the calls that waited for a confirmation.
func (l *loop) finishReads(id uint64, err error) {
	for _, r := range l.pendingReads[id] {
		r.done <- outcome{err: err}
	}
	delete(l.pendingReads, id)
}
