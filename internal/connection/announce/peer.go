package announce

import (
	"slices"
	"time"
)

// peerLeases is this entry's copy of the leases that a peer holds.
type peerLeases struct {
	incarnation string
	sequence    uint64
	digest      Digest
	leases      map[string]*lease
	// confirmed is the expiry of all leases except the expiring ones.
	confirmed *expiry
	// expiring lists the VMs whose leases have their own expiry.
	expiring []string
}

func newPeerLeases() *peerLeases {
	return &peerLeases{leases: map[string]*lease{}, confirmed: &expiry{}}
}

// reset discards the copy, so that the peer sends all its leases again. The
// discarded leases are not renewed and expire at the time last confirmed.
func (p *peerLeases) reset() { *p = *newPeerLeases() }

// PeerState returns the state of the copy of a peer's leases, from which to ask
// the peer for changes.
func (t *Table) PeerState(id string) (incarnation string, sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if peer := t.peers[id]; peer != nil {
		return peer.incarnation, peer.sequence
	}
	return "", 0
}

// ApplyPeer applies a peer's answer to a poll that was sent at askedAt. The
// remaining times of all leases count from askedAt. It returns false if the
// digest does not match. The answer then confirms no leases, and the next poll
// asks for all of the peer's leases.
func (t *Table) ApplyPeer(id string, askedAt time.Time, c Changes) bool {
	t.mu.Lock()
	peer := t.peers[id]
	if peer == nil {
		peer = newPeerLeases()
		t.peers[id] = peer
	}
	vms := peer.apply(c)
	matches := peer.digest == c.Digest
	if matches {
		peer.incarnation, peer.sequence = c.Incarnation, c.Sequence
		peer.confirm(askedAt, c.Expiring)
	} else {
		peer.reset()
	}
	changed := t.resolveChanged(vms, time.Now())
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
	return matches
}

// apply stores the changed records and returns their VMs.
func (p *peerLeases) apply(c Changes) []string {
	var vms []string
	if c.Full {
		for vm := range p.leases {
			vms = append(vms, vm)
		}
		p.leases, p.digest, p.expiring = map[string]*lease{}, Digest{}, nil
	}
	for _, record := range c.Records {
		p.remove(record.VM)
		p.leases[record.VM] = &lease{record: record, confirmed: p.confirmed}
		p.digest.toggle(&record)
		vms = append(vms, record.VM)
	}
	for _, vm := range c.Removed {
		p.remove(vm)
		vms = append(vms, vm)
	}
	return vms
}

func (p *peerLeases) remove(vm string) {
	if known := p.leases[vm]; known != nil {
		p.digest.toggle(&known.record)
		delete(p.leases, vm)
	}
}

// confirm renews all leases: the expiring ones for their remaining times, and
// all others for ConfirmedLeaseTime.
func (p *peerLeases) confirm(askedAt time.Time, expiring []ExpiringLease) {
	p.confirmed.set(askedAt.Add(ConfirmedLeaseTime))
	for _, vm := range p.expiring {
		if known := p.leases[vm]; known != nil {
			known.ownExpiry.Store(nil)
		}
	}
	p.expiring = p.expiring[:0]
	for _, l := range expiring {
		known := p.leases[l.VM]
		if known == nil {
			continue
		}
		end := &expiry{}
		end.set(askedAt.Add(time.Duration(l.RemainingMS) * time.Millisecond))
		known.ownExpiry.Store(end)
		p.expiring = append(p.expiring, l.VM)
	}
}

// resolveChanged resolves the targets of the VMs again, and drops held leases
// that are superseded by a newer record of a peer. It reports whether any target
// changed.
func (t *Table) resolveChanged(vms []string, now time.Time) bool {
	changed := false
	for _, vm := range vms {
		changed = t.resolveTarget(vm, now, "its entry no longer holds the lease") || changed
		held := t.held[vm]
		target, known := t.targets[vm]
		if held != nil && known && !target.sameContent(&held.record.Announcement) {
			t.dropHeld(vm)
		}
	}
	return changed
}

// RetainPeers removes the peers for which keep returns false.
func (t *Table) RetainPeers(keep func(id string) bool) {
	t.mu.Lock()
	changed := false
	for id, peer := range t.peers {
		if keep(id) {
			continue
		}
		delete(t.peers, id)
		for vm := range peer.leases {
			changed = t.resolveTarget(vm, time.Now(), "its entry was removed") || changed
		}
	}
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}

// LivePeers returns the sorted IDs of the peers whose last confirmation has not
// expired.
func (t *Table) LivePeers(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []string
	for id, peer := range t.peers {
		if peer.confirmed.after(now) {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}
