// Package workerlease bounds the leases that one incarnation of a worker may hold, so that a
// leader that does not reach it knows when its runs have ended.
//
// A lease ends at a time on the worker's clock, which is steady, may be slow by Drift, and
// begins at any value in each incarnation. So only readings of one incarnation make up a
// bound, and none is compared with a duration; one that does not continue the others is of
// another incarnation.
package workerlease

import "time"

const (
	// Duration is that of the lease that each call of a leader grants. It outlasts an
	// election of up to 1.2 s and the first calls of the new leader.
	Duration = 4 * time.Second
	// Drift is the maximum ratio by which a worker's clock may be slow.
	Drift = 0.02
	// inheritedTime bounds the leases that former leaders may have granted, counted from when
	// a leader learns of a worker. It covers their Duration, replica.MaxUnconfirmed, and some
	// slack.
	inheritedTime = Duration + 2*time.Second
	// StaleCallTime is the time after a worker's restart by which all calls to its former
	// incarnation have arrived or failed. A call that got no answer may be executed seconds
	// later; the platform gives no limit.
	StaleCallTime = 15 * time.Second
)

// Origin tells what may have granted leases to an incarnation before the leader's first
// contact with it, beside former leaders.
type Origin struct {
	// IDReused is set if an earlier incarnation had the worker's id, so that late calls to
	// that one reach this one. They carry times on another clock, so that only the worker's
	// own limit bounds the leases that they grant.
	IDReused bool
	// FirstClockMS is the first known reading of the incarnation's clock, or 0.
	FirstClockMS int64
}

// Reading is what a worker's clock showed at a local time.
type Reading struct {
	MS int64
	At time.Time
}

// Bound holds the latest end of any lease of one incarnation, on its clock.
type Bound struct {
	origin Origin
	// knownSince is when this leader learned of the incarnation.
	knownSince time.Time
	// reading is the newest reading of the clock; its MS is 0 while the clock is unknown.
	reading Reading
	// heardMS is the highest clock in a heartbeat, or 0.
	heardMS int64
	// untilMS is the latest end, contactMS that of the leases granted before the first
	// contact. Both are 0 until then, and while the clock is unknown.
	untilMS, contactMS int64
	// contacted is set once the incarnation has answered, and longest is the limit that
	// workers set to their leases then. coversEarlier is set once contactMS is known.
	contacted, coversEarlier bool
	longest                  time.Duration
	// otherUntil is until when an incarnation that has answered in this one's place may hold
	// a lease.
	otherUntil time.Time
	// strayContact is set if a call to an earlier incarnation decides contactMS.
	strayContact bool
}

// Basis tells which leases decide a bound.
type Basis string

const (
	// Own is a lease that this leader has granted since the first contact.
	Own Basis = "own"
	// Inherited is a lease of a former leader.
	Inherited Basis = "inherited"
	// Stray is a lease of a call to an earlier incarnation.
	Stray Basis = "stray"
)

// NewBound returns the bound of an incarnation that this leader has just learned of.
func NewBound(origin Origin, now time.Time) Bound {
	return Bound{origin: origin, knownSince: now}
}

// IDReused reports whether an earlier incarnation had the worker's id.
func (b *Bound) IDReused() bool { return b.origin.IDReused }

// KnownSince returns when this leader learned of the incarnation.
func (b *Bound) KnownSince() time.Time { return b.knownSince }

// Reading returns the newest reading of the clock. Its MS is 0 while the clock is unknown.
func (b *Bound) Reading() Reading { return b.reading }

// Record records the clock from an answer of the incarnation.
func (b *Bound) Record(clockMS int64, now time.Time) {
	if clockMS == 0 {
		return
	}
	b.reading = Reading{clockMS, now}
	b.coverEarlier()
}

// Continues reports whether a clock in an answer that names no incarnation may be this
// incarnation's: it agrees with the newest reading. Each may have been read up to delay before
// it was known here.
func (b *Bound) Continues(clockMS int64, now time.Time, delay time.Duration) bool {
	if clockMS == 0 || b.reading.MS == 0 {
		return true
	}
	earliest := b.SlowestMS(now) - delay.Milliseconds()
	latest := b.reading.MS + (now.Sub(b.reading.At) + delay).Milliseconds()
	return earliest <= clockMS && clockMS <= latest
}

// CoverOther extends the bound to the lease that an incarnation which has answered in this
// one's place may hold, since it takes calls to this one. Its clock is not that of the bound.
func (b *Bound) CoverOther(now time.Time, longest time.Duration) {
	if until := now.Add(slowed(longest)); until.After(b.otherUntil) {
		b.otherUntil = until
	}
}

// Heard records the clock in a heartbeat of the incarnation, which may be known before the
// first contact.
func (b *Bound) Heard(clockMS int64) { b.heardMS = max(b.heardMS, clockMS) }

// SlowestMS returns what the clock shows at least.
func (b *Bound) SlowestMS(now time.Time) int64 {
	elapsed := time.Duration(float64(now.Sub(b.reading.At)) * (1 - Drift))
	return b.reading.MS + elapsed.Milliseconds()
}

// OnClock reports whether leases are counted on the worker's clock.
func (b *Bound) OnClock() bool { return b.untilMS > 0 }

// UntilMS returns the latest end of any lease on the clock, or 0 before the first contact.
func (b *Bound) UntilMS() int64 { return b.untilMS }

// Contact records the first answer of the incarnation to this leader. From then on it refuses
// the calls of former leaders and those to earlier incarnations. longest is the limit that
// workers set to their leases.
func (b *Bound) Contact(longest time.Duration) {
	b.contacted, b.longest = true, longest
	b.coverEarlier()
}

// coverEarlier extends the bound, at the first reading since the contact, to the leases that
// were granted before the contact.
func (b *Bound) coverEarlier() {
	if !b.contacted || b.coversEarlier || b.reading.MS == 0 {
		return
	}
	own := b.reading.MS + Duration.Milliseconds()
	b.contactMS = max(own, b.strayMS(b.longest))
	b.strayContact = b.contactMS > own
	b.untilMS = max(b.untilMS, b.contactMS)
	b.coversEarlier = true
}

// strayMS returns the latest end of a lease that a late call to an earlier incarnation has
// granted before the first contact, or 0.
func (b *Bound) strayMS(longest time.Duration) int64 {
	if !b.origin.IDReused {
		return 0
	}
	granted := b.reading.MS
	if b.origin.FirstClockMS > 0 {
		granted = min(granted, b.origin.FirstClockMS+StaleCallTime.Milliseconds())
	}
	return granted + longest.Milliseconds()
}

// Grant returns the end of a lease that starts now, on the worker's clock, and records
// that it may have been granted. It returns 0 while the clock is unknown.
func (b *Bound) Grant(now time.Time) int64 {
	if b.reading.MS == 0 {
		return 0
	}
	until := b.SlowestMS(now) + Duration.Milliseconds()
	b.untilMS = max(b.untilMS, until)
	return until
}

// Expired reports whether every lease that may have been granted has certainly expired,
// although the worker does not answer and its clock may be slow.
func (b *Bound) Expired(now time.Time, longest time.Duration) bool {
	if now.Before(b.otherUntil) {
		return false
	}
	if !b.OnClock() {
		return now.Sub(b.knownSince) > b.MaxUncontacted(longest)
	}
	return b.SlowestMS(now) > b.untilMS
}

// MaxUncontacted returns the time since this leader learned of the incarnation after which
// every lease has expired if there was no contact.
func (b *Bound) MaxUncontacted(longest time.Duration) time.Duration {
	bound := inheritedTime
	if b.mayHoldStray(longest) {
		bound = max(bound, StaleCallTime+longest)
	}
	return slowed(bound)
}

// mayHoldStray reports whether a late call to an earlier incarnation may have granted a lease
// that has not expired by the newest heartbeat.
func (b *Bound) mayHoldStray(longest time.Duration) bool {
	last := b.origin.FirstClockMS + (StaleCallTime + longest).Milliseconds()
	return b.origin.IDReused && (b.origin.FirstClockMS == 0 || b.heardMS <= last)
}

// slowed returns how long a duration on a worker's clock takes at most.
func slowed(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + Drift)) }

// Basis returns which leases decide what Expired reports.
func (b *Bound) Basis(longest time.Duration) Basis {
	switch {
	case b.otherDecides(longest):
		return Stray
	case b.OnClock() && b.untilMS > b.contactMS:
		return Own
	case b.OnClock() && b.strayContact, !b.OnClock() && b.mayHoldStray(longest) && StaleCallTime+longest > inheritedTime:
		return Stray
	}
	return Inherited
}

// otherDecides reports whether the lease of another incarnation is the last to expire.
func (b *Bound) otherDecides(longest time.Duration) bool {
	if b.OnClock() {
		return b.SlowestMS(b.otherUntil) > b.untilMS
	}
	return b.otherUntil.Sub(b.knownSince) > b.MaxUncontacted(longest)
}
