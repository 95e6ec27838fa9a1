// Package announce takes the announcements of targets and keeps their
// leases, those that this entry heard itself and those that its zone peers
// vouch for. It publishes immutable snapshots of the targets.
//
// The entry that heard a target holds its lease. A peer learns of changes
// only; one digest in each answer vouches for the leases that did not
// change, so that the cost follows the changes and not the fleet.
package announce

import (
	"cmp"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Times of a lease. A silent target gets no new work once its lease ends.
const (
	LeaseTime    = 2500 * time.Millisecond
	NextInterval = 800 * time.Millisecond
	// ConfirmedLeaseTime is the remaining life that an entry vouches for in one
	// answer to a peer. Leases with less are named one by one, so a lease
	// never ends later at a peer than at its holder.
	ConfirmedLeaseTime = 1200 * time.Millisecond
)

// Announcement is what a target says of itself, as JSON.
type Announcement struct {
	VM       string   `json:"vm" cbor:"1,keyasint"`
	Address  string   `json:"address" cbor:"2,keyasint"`
	Services []string `json:"services" cbor:"3,keyasint"`
	// Incarnation differs between runs of one target.
	Incarnation string `json:"incarnation" cbor:"4,keyasint"`
	// Leaving says that the target takes no new work.
	Leaving bool `json:"leaving,omitempty" cbor:"5,keyasint,omitempty"`
	// StartedMS is when this run of the target began, in Unix milliseconds.
	// The newest run of a VM wins; equal times are ordered by Incarnation.
	StartedMS int64 `json:"started_ms,omitempty" cbor:"6,keyasint,omitempty"`
}

// same says that nothing changed between two announcements.
func (a *Announcement) same(b *Announcement) bool {
	return a.Address == b.Address && a.Leaving == b.Leaving && a.compareRun(b) == 0 && slices.Equal(a.Services, b.Services)
}

// compareRun orders the runs of one VM's targets, the newer above.
func (a *Announcement) compareRun(b *Announcement) int {
	return cmp.Or(cmp.Compare(a.StartedMS, b.StartedMS), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Lease is the answer to an announcement.
type Lease struct {
	LeaseMS int64 `json:"lease_ms"`
	// NextMS is when to announce again.
	NextMS int64 `json:"next_ms"`
}

// Record is a lease as its holder tells it to peers.
type Record struct {
	Announcement
	// Pool is the pool whose token the target bears.
	Pool string `cbor:"20,keyasint"`
	// Stamp is when the holder heard this content first.
	Stamp timeline.Stamp `cbor:"21,keyasint"`
}

// compare orders two records of one VM: the newer run, then what was heard later.
func (r *Record) compare(other *Record) int {
	if order := r.compareRun(&other.Announcement); order != 0 {
		return order
	}
	if r.Stamp == other.Stamp {
		return 0
	}
	if r.Stamp.Before(other.Stamp) {
		return -1
	}
	return 1
}

// Target is a target with a lease.
type Target struct {
	Announcement
	// Pool is the pool whose token the target bears.
	Pool string
	// Expires is the end of the lease on the monotonic clock when the
	// target was published; Live knows of renewals since.
	Expires time.Time

	// leases are those on which the target stands; any one suffices.
	leases []*lease
}

// Live says whether the target may get new work.
func (t *Target) Live(now time.Time) bool {
	return !t.Leaving && t.LeaseValid(now)
}

// LeaseValid says whether the target, leaving or not, was heard of late.
func (t *Target) LeaseValid(now time.Time) bool {
	if t.leases == nil {
		return now.Before(t.Expires)
	}
	return anyRuns(t.leases, now)
}

// Snapshot is an immutable set of targets by VM.
type Snapshot struct{ Targets map[string]Target }
