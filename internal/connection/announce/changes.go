package announce

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxLoggedChanges bounds the changes that can be told one by one; a peer
// that is further behind gets all leases.
const maxLoggedChanges = 4096

// Digest identifies a set of held leases, whatever their order.
type Digest [16]byte

// toggle adds a record to the set, or takes it out.
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

// Changes is what a peer needs to know the leases that an entry holds.
type Changes struct {
	// Incarnation and Sequence name the state that the peer has afterwards.
	Incarnation string `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
	// Full says that Records are all leases.
	Full    bool     `cbor:"3,keyasint,omitempty"`
	Records []Record `cbor:"4,keyasint,omitempty"`
	Removed []string `cbor:"5,keyasint,omitempty"`
	// Digest vouches for all leases, also the unchanged ones, for VouchTime
	// but for those in Late.
	Digest   Digest          `cbor:"6,keyasint"`
	Expiring []ExpiringLease `cbor:"7,keyasint,omitempty"`
}

// ExpiringLease is a lease that ends within VouchTime unless it is renewed.
type ExpiringLease struct {
	VM          string `cbor:"1,keyasint"`
	RemainingMS int64  `cbor:"2,keyasint"`
}

// changeLog lists the VMs whose held lease changed, newest last.
type changeLog struct {
	// sequence is the number of changes ever.
	sequence uint64
	vms      []string
	digest   Digest
}

// note logs the change of one VM's held lease; nil stands for none.
func (c *changeLog) note(vm string, before, after *lease) {
	if before != nil {
		c.digest.toggle(&before.record)
	}
	if after != nil {
		c.digest.toggle(&after.record)
	}
	c.sequence++
	c.vms = append(c.vms, vm)
	if len(c.vms) > 2*maxLoggedChanges {
		c.vms = append([]string{}, c.vms[maxLoggedChanges:]...)
	}
}

// since returns the VMs that changed after a sequence; false if the log
// does not reach back so far.
func (c *changeLog) since(sequence uint64) ([]string, bool) {
	if sequence > c.sequence || c.sequence-sequence > uint64(len(c.vms)) {
		return nil, false
	}
	return c.vms[uint64(len(c.vms))-(c.sequence-sequence):], true
}

// UpToDate says that a peer at this state has seen all changes.
func (t *Table) UpToDate(incarnation string, sequence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return incarnation == t.incarnation && sequence == t.log.sequence
}

// ChangesSince returns what a peer at the named state needs.
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
	told := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if told[vm] {
			continue
		}
		told[vm] = true
		if held := t.held[vm]; held != nil {
			changes.Records = append(changes.Records, held.record)
		} else {
			changes.Removed = append(changes.Removed, vm)
		}
	}
}
