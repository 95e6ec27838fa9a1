package announce

import (
	"sync/atomic"
	"time"
)

// processStart is the origin of all lease times. Differences from it use the
// monotonic clock, so that in a process that was suspended the leases have
// expired when it resumes, independent of the wall clock.
var processStart = time.Now()

// expiry is a time on the monotonic clock that can be changed concurrently.
type expiry struct{ sinceStart atomic.Int64 }

func (e *expiry) set(moment time.Time)     { e.sinceStart.Store(int64(moment.Sub(processStart))) }
func (e *expiry) time() time.Time          { return processStart.Add(time.Duration(e.sinceStart.Load())) }
func (e *expiry) after(now time.Time) bool { return e.remaining(now) > 0 }
func (e *expiry) remaining(now time.Time) time.Duration {
	return time.Duration(e.sinceStart.Load()) - now.Sub(processStart)
}

// lease is a lease that is held by this entry, or held and confirmed by a peer.
type lease struct {
	record Record
	// ownExpiry is the expiry of a held lease. In a peer's lease it is set only
	// while the peer lists the lease as expiring.
	ownExpiry atomic.Pointer[expiry]
	// confirmed is the expiry that all leases of one peer share. It is nil in
	// held leases.
	confirmed *expiry
}

// end returns the expiry of the lease.
func (l *lease) end() *expiry {
	if own := l.ownExpiry.Load(); own != nil {
		return own
	}
	return l.confirmed
}

func (l *lease) valid(now time.Time) bool { return l.end().after(now) }

func anyValid(leases []*lease, now time.Time) bool {
	for _, l := range leases {
		if l.valid(now) {
			return true
		}
	}
	return false
}

// newHeldLease returns a lease that this entry holds.
func newHeldLease(record Record, end time.Time) *lease {
	l := &lease{record: record}
	l.ownExpiry.Store(&expiry{})
	l.ownExpiry.Load().set(end)
	return l
}
