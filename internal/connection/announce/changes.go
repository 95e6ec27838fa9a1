package announce

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// minLoggedChanges is the number of latest changes that the change log always
// keeps. A peer that is further behind than the log gets all leases.
const minLoggedChanges = 4096

// Digest is a hash of a set of lease records, independent of their order.
type Digest [16]byte

// toggle adds a record to the set, or removes it if the set contains it.
func (d *Digest) toggle(r *Record) {
	encoded, err := cbor.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("lease record does not marshal: %v", err))
	}
	sum := sha256.Sum256(encoded)
	for i := range d {
		d[i] ^= sum[i]
	}
}

// Changes updates a peer's copy of the leases that an entry holds.
type Changes struct {
	// Incarnation and Sequence identify the state of the peer's copy after the
	// changes.
	Incarnation string `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
	// Full means that Records contains all leases.
	Full    bool     `cbor:"3,keyasint,omitempty"`
	Records []Record `cbor:"4,keyasint,omitempty"`
	Removed []string `cbor:"5,keyasint,omitempty"`
	// Digest is the digest of all held leases. It confirms each of them, also
	// the unchanged ones, for ConfirmedLeaseTime, except those in Expiring.
	Digest   Digest          `cbor:"6,keyasint"`
	Expiring []ExpiringLease `cbor:"7,keyasint,omitempty"`
}

// ExpiringLease is a lease that expires within ConfirmedLeaseTime unless it is
// renewed.
type ExpiringLease struct {
	VM          string `cbor:"1,keyasint"`
	RemainingMS int64  `cbor:"2,keyasint"`
}

// changeLog records which held leases have changed.
type changeLog struct {
	// sequence is the total number of changes.
	sequence uint64
	// vms lists the VMs of the latest changes, newest last.
	vms []string
	// digest is the digest of all held leases.
	digest Digest
}

// add records the change of a VM's held lease. A nil lease stands for none.
func (c *changeLog) add(vm string, before, after *lease) {
	if before != nil {
		c.digest.toggle(&before.record)
	}
	if after != nil {
		c.digest.toggle(&after.record)
	}
	c.sequence++
	c.vms = append(c.vms, vm)
	if len(c.vms) > 2*minLoggedChanges {
		c.vms = append([]string{}, c.vms[minLoggedChanges:]...)
	}
}

// since returns the VMs whose held lease changed after a sequence. It returns
// false if the log does not reach back that far.
func (c *changeLog) since(sequence uint64) ([]string, bool) {
	if sequence > c.sequence || c.sequence-sequence > uint64(len(c.vms)) {
		return nil, false
	}
	return c.vms[uint64(len(c.vms))-(c.sequence-sequence):], true
}

// UpToDate reports whether a peer at the given state has all changes.
func (t *Table) UpToDate(incarnation string, sequence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return incarnation == t.incarnation && sequence == t.log.sequence
}

// ChangesSince returns the changes for a peer at the given state.
func (t *Table) ChangesSince(incarnation string, sequence uint64, now time.Time) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := Changes{Incarnation: t.incarnation, Sequence: t.log.sequence, Digest: t.log.digest}
	vms, logged := t.log.since(sequence)
	if incarnation != t.incarnation || !logged {
		changes.Full = true
		for _, held := range t.held {
			changes.Records = append(changes.Records, held.record)
		}
	} else {
		t.addChanged(&changes, vms)
	}
	for vm, held := range t.held {
		if remaining := held.end().remaining(now); remaining < ConfirmedLeaseTime {
			changes.Expiring = append(changes.Expiring, ExpiringLease{VM: vm, RemainingMS: max(0, remaining.Milliseconds())})
		}
	}
	return changes
}

func (t *Table) addChanged(changes *Changes, vms []string) {
	added := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if added[vm] {
			continue
		}
		added[vm] = true
		if held := t.held[vm]; held != nil {
			changes.Records = append(changes.Records, held.record)
		} else {
			changes.Removed = append(changes.Removed, vm)
		}
	}
}
