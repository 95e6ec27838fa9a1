package announce

import (
	"sync/atomic"
	"time"
)

// processStart is the origin of all lease times. Differences to it use the
// monotonic clock, so that a process that was stopped for a while finds
// its leases over when it wakes, whatever the wall clock says.
var processStart = time.Now()

// expiry is a moment on the monotonic clock that others may move.
type expiry struct{ sinceStart atomic.Int64 }

func (e *expiry) set(moment time.Time)     { e.sinceStart.Store(int64(moment.Sub(processStart))) }
func (e *expiry) time() time.Time          { return processStart.Add(time.Duration(e.sinceStart.Load())) }
func (e *expiry) after(now time.Time) bool { return e.remaining(now) > 0 }
func (e *expiry) remaining(now time.Time) time.Duration {
	return time.Duration(e.sinceStart.Load()) - now.Sub(processStart)
}

// lease is one lease: held by this entry, or vouched for by a peer.
type lease struct {
	record Record
	// own ends a held lease. On a peer's lease it is set only while the
	// peer names the lease as about to end.
	own atomic.Pointer[expiry]
	// vouched is shared by all leases of one peer; nil on held leases.
	vouched *expiry
}

// end returns the moment at which the lease ends.
func (l *lease) end() *expiry {
	if own := l.own.Load(); own != nil {
		return own
	}
	return l.vouched
}

func (l *lease) runs(now time.Time) bool { return l.end().after(now) }

func anyRuns(leases []*lease, now time.Time) bool {
	for _, l := range leases {
		if l.runs(now) {
			return true
		}
	}
	return false
}

// newHeld returns a lease that this entry holds itself.
func newHeld(record Record, end time.Time) *lease {
	l := &lease{record: record}
	l.own.Store(&expiry{})
	l.own.Load().set(end)
	return l
}
