// Package announce accepts the announcements of targets and keeps their leases:
// those that this entry holds, and those that its zone peers hold and confirm.
// It publishes immutable snapshots of the targets.
//
// The entry that receives a target's announcements holds the lease. It sends
// only changes to its peers. One digest in each answer confirms all leases that
// did not change, so the cost depends on the number of changes and not on the
// size of the fleet.
package announce

import (
	"cmp"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Timing of leases. A target that stops announcing itself gets no new work once
// its lease expires.
const (
	// LeaseTime is the duration of a lease from the last announcement.
	LeaseTime = 2500 * time.Millisecond
	// NextInterval is the time after which a target is told to announce again.
	NextInterval = 800 * time.Millisecond
	// ConfirmedLeaseTime is the remaining lease time that an entry confirms for
	// all its leases in one answer to a peer. Leases with less remaining time
	// are listed one by one, so a lease never expires later at a peer than at
	// its holder.
	ConfirmedLeaseTime = 1200 * time.Millisecond
)

// Announcement is the announcement of a target, in JSON.
type Announcement struct {
	VM       string   `json:"vm" cbor:"1,keyasint"`
	Address  string   `json:"address" cbor:"2,keyasint"`
	Services []string `json:"services" cbor:"3,keyasint"`
	// Incarnation differs between starts of one target.
	Incarnation string `json:"incarnation" cbor:"4,keyasint"`
	// Leaving means that the target accepts no new work.
	Leaving bool `json:"leaving,omitempty" cbor:"5,keyasint,omitempty"`
	// StartedMS is the start of this incarnation in Unix milliseconds. The
	// newest incarnation on a VM takes precedence; equal start times are
	// ordered by Incarnation.
	StartedMS int64 `json:"started_ms,omitempty" cbor:"6,keyasint,omitempty"`
}

// sameContent reports whether two announcements of a VM are equal.
func (a *Announcement) sameContent(b *Announcement) bool {
	return a.Address == b.Address && a.Leaving == b.Leaving && a.compareIncarnation(b) == 0 && slices.Equal(a.Services, b.Services)
}

// compareIncarnation compares the incarnations of two targets of one VM. The
// newer one is greater.
func (a *Announcement) compareIncarnation(b *Announcement) int {
	return cmp.Or(cmp.Compare(a.StartedMS, b.StartedMS), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Lease is the answer to an announcement.
type Lease struct {
	LeaseMS int64 `json:"lease_ms"`
	// NextMS is the time after which the target is to announce itself again.
	NextMS int64 `json:"next_ms"`
}

// Record is a lease as its holder sends it to peers.
type Record struct {
	Announcement
	// Pool is the pool of the target's token.
	Pool string `cbor:"20,keyasint"`
	// Stamp is the time at which the holder first received this content.
	Stamp timeline.Stamp `cbor:"21,keyasint"`
}

// compare compares two records of one VM. The newer incarnation is greater and,
// of one incarnation, the content that was received later.
func (r *Record) compare(other *Record) int {
	if order := r.compareIncarnation(&other.Announcement); order != 0 {
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
	// Pool is the pool of the target's token.
	Pool string
	// Expires is the end of the lease on the monotonic clock at the time when
	// the target was published. Live also considers later renewals.
	Expires time.Time

	// leases are the target's leases at this entry and its peers. The target
	// is live while any of them is valid.
	leases []*lease
}

// Live reports whether the target may get new work.
func (t *Target) Live(now time.Time) bool {
	return !t.Leaving && t.LeaseValid(now)
}

// LeaseValid reports whether the target has a valid lease, even if it is leaving.
func (t *Target) LeaseValid(now time.Time) bool {
	if t.leases == nil {
		return now.Before(t.Expires)
	}
	return anyValid(t.leases, now)
}

// Snapshot is an immutable set of targets by VM.
type Snapshot struct{ Targets map[string]Target }
