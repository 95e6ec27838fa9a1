package announce

import (
	"slices"
	"time"
)

// peerLeases is what this entry knows of the leases that a peer holds.
type peerLeases struct {
	incarnation string
	sequence    uint64
	digest      Digest
	leases      map[string]*lease
	// vouched ends all leases but the late ones.
	vouched *expiry
	// late lists the leases with an end of their own.
	late []string
}

func newPeerLeases() *peerLeases {
	return &peerLeases{leases: map[string]*lease{}, vouched: &expiry{}}
}

// reset forgets everything, so that the peer tells all its leases again.
// What was vouched for before ends at its time, and is not renewed.
func (p *peerLeases) reset() { *p = *newPeerLeases() }

// PeerState returns the state to ask a peer from.
func (t *Table) PeerState(id string) (incarnation string, sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if peer := t.peers[id]; peer != nil {
		return peer.incarnation, peer.sequence
	}
	return "", 0
}

// ApplyPeer takes a peer's answer to a question that was asked at the
// given time; all leases are counted from there. It returns false if the
// digest does not fit: then nothing is vouched for, and the peer's leases
// are to be asked for in full.
func (t *Table) ApplyPeer(id string, askedAt time.Time, c Changes) bool {
	t.mu.Lock()
	peer := t.peers[id]
	if peer == nil {
		peer = newPeerLeases()
		t.peers[id] = peer
	}
	touched := peer.apply(c)
	fits := peer.digest == c.Digest
	if fits {
		peer.incarnation, peer.sequence = c.Incarnation, c.Sequence
		peer.vouch(askedAt, c.Expiring)
	} else {
		peer.reset()
	}
	changed := t.settle(touched, time.Now())
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
	return fits
}

// apply stores changed records and returns the VMs concerned.
func (p *peerLeases) apply(c Changes) []string {
	var touched []string
	if c.Full {
		for vm := range p.leases {
			touched = append(touched, vm)
		}
		p.leases, p.digest, p.late = map[string]*lease{}, Digest{}, nil
	}
	for _, record := range c.Records {
		p.remove(record.VM)
		p.leases[record.VM] = &lease{record: record, vouched: p.vouched}
		p.digest.toggle(&record)
		touched = append(touched, record.VM)
	}
	for _, vm := range c.Removed {
		p.remove(vm)
		touched = append(touched, vm)
	}
	return touched
}

func (p *peerLeases) remove(vm string) {
	if known := p.leases[vm]; known != nil {
		p.digest.toggle(&known.record)
		delete(p.leases, vm)
	}
}

// vouch renews all leases, the late ones by what remains of each.
func (p *peerLeases) vouch(askedAt time.Time, late []ExpiringLease) {
	p.vouched.set(askedAt.Add(ConfirmedLeaseTime))
	for _, vm := range p.late {
		if known := p.leases[vm]; known != nil {
			known.own.Store(nil)
		}
	}
	p.late = p.late[:0]
	for _, l := range late {
		known := p.leases[l.VM]
		if known == nil {
			continue
		}
		end := &expiry{}
		end.set(askedAt.Add(time.Duration(l.RemainingMS) * time.Millisecond))
		known.own.Store(end)
		p.late = append(p.late, l.VM)
	}
}

// settle resolves the VMs again and gives up held leases that a peer's
// newer record replaces.
func (t *Table) settle(vms []string, now time.Time) bool {
	changed := false
	for _, vm := range vms {
		changed = t.resolve(vm, now, "its entry no longer holds the lease") || changed
		held := t.held[vm]
		target, known := t.targets[vm]
		if held != nil && known && !target.same(&held.record.Announcement) {
			t.dropHeld(vm)
		}
	}
	return changed
}

// RetainPeers forgets the peers that the filter does not keep.
func (t *Table) RetainPeers(keep func(id string) bool) {
	t.mu.Lock()
	changed := false
	for id, peer := range t.peers {
		if keep(id) {
			continue
		}
		delete(t.peers, id)
		for vm := range peer.leases {
			changed = t.resolve(vm, time.Now(), "its entry was removed") || changed
		}
	}
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}

// LivePeers returns the IDs of the peers that were heard of late, in order.
func (t *Table) LivePeers(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []string
	for id, peer := range t.peers {
		if peer.vouched.after(now) {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}
