package announce

import (
	"crypto/rand"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Reasons for refusing an announcement.
var (
	// ErrUnknownVM is returned when no declared VM of the zone has the name.
	ErrUnknownVM = errors.New("no VM of this zone has the name")
	// ErrSuperseded is returned when a newer incarnation of the VM's target is
	// live.
	ErrSuperseded = errors.New("a newer run of this VM's target is live")
	// ErrOtherPool is returned when the VM's live target has the token of
	// another pool.
	ErrOtherPool = errors.New("the VM's live target bears the token of another pool")
	// ErrStalled is returned shortly after this process was suspended, because
	// the announcement may have been waiting since then. The target is to
	// announce itself again.
	ErrStalled = errors.New("this entry was stopped for a while, announce again")
)

// Table keeps the leases known to one entry. It is safe for concurrent use.
type Table struct {
	recorder *timeline.Recorder
	// onChange is called after a target was added, removed or changed.
	onChange func()
	// isKnownVM reports whether the target of a VM may announce itself here.
	isKnownVM func(vm string) bool
	// incarnation identifies this instance of the table to peers.
	incarnation string
	guard       stallGuard

	mu    sync.Mutex
	held  map[string]*lease
	log   changeLog
	peers map[string]*peerLeases
	// targets holds the target of the newest lease, held or of a peer, by VM.
	targets map[string]Target
	// published is a copy of targets, or nil if they have changed since.
	published *Snapshot
	// changed is closed and replaced when a held lease changes.
	changed atomic.Pointer[chan struct{}]
}

// NewTable returns an empty table. It accepts announcements for the VMs for
// which isKnownVM returns true, and calls onChange after the targets changed.
func NewTable(recorder *timeline.Recorder, isKnownVM func(vm string) bool, onChange func()) *Table {
	t := &Table{recorder: recorder, isKnownVM: isKnownVM, onChange: onChange, incarnation: rand.Text(), guard: stallGuard{lastTick: time.Now()},
		held: map[string]*lease{}, peers: map[string]*peerLeases{}, targets: map[string]Target{}}
	signal := make(chan struct{})
	t.changed.Store(&signal)
	return t
}

// Snapshot returns the present targets. It makes a new copy only after a change.
func (t *Table) Snapshot() *Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.published == nil {
		t.published = &Snapshot{Targets: maps.Clone(t.targets)}
	}
	return t.published
}

// Changed returns a channel that is closed at the next change of a held lease.
func (t *Table) Changed() <-chan struct{} { return *t.changed.Load() }

// Accept grants or renews the lease of a target that announced itself with the
// token of a pool.
func (t *Table) Accept(a Announcement, pool string) (Lease, error) {
	return t.acceptSent(a, pool, time.Time{})
}

// acceptSent is Accept for an announcement that was not sent before sentAfter.
func (t *Table) acceptSent(a Announcement, pool string, sentAfter time.Time) (Lease, error) {
	if !t.isKnownVM(a.VM) {
		return Lease{}, ErrUnknownVM
	}
	now := time.Now()
	if !a.Leaving && !t.guard.canTrust(now, sentAfter) {
		return Lease{}, ErrStalled
	}
	t.mu.Lock()
	changed, err := t.acceptLocked(a, pool, now)
	t.mu.Unlock()
	if err != nil {
		return Lease{}, err
	}
	if changed {
		t.onChange()
	}
	return Lease{LeaseMS: LeaseTime.Milliseconds(), NextMS: NextInterval.Milliseconds()}, nil
}

func (t *Table) acceptLocked(a Announcement, pool string, now time.Time) (bool, error) {
	if current, known := t.targets[a.VM]; known && anyValid(current.leases, now) {
		if current.compareIncarnation(&a) > 0 {
			return false, ErrSuperseded
		}
		if current.Pool != pool {
			return false, ErrOtherPool
		}
	}
	held := t.held[a.VM]
	if held != nil && held.record.sameContent(&a) && held.record.Pool == pool {
		held.ownExpiry.Load().set(now.Add(LeaseTime))
		return false, nil
	}
	t.held[a.VM] = newHeldLease(Record{Announcement: a, Pool: pool, Stamp: t.recorder.Now()}, now.Add(LeaseTime))
	t.recordHeldChange(a.VM, held, t.held[a.VM])
	return t.resolveTarget(a.VM, now, ""), nil
}

// Expire removes the expired leases. It must be called several times per second,
// because a long time between two calls counts as a stall of the process.
func (t *Table) Expire(now time.Time) {
	t.guard.tick(now)
	t.mu.Lock()
	for vm, held := range t.held {
		if !held.valid(now) {
			t.dropHeld(vm)
		}
	}
	for _, peer := range t.peers {
		if !peer.confirmed.after(now) {
			peer.reset()
		}
	}
	changed := false
	for vm, target := range t.targets {
		if !anyValid(target.leases, now) {
			changed = t.resolveTarget(vm, now, "lease ended") || changed
		}
	}
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}

// TakeStall returns how long the process was suspended, if that was noticed
// since the last call, or 0.
func (t *Table) TakeStall() time.Duration { return t.guard.takeUnreported() }

func (t *Table) dropHeld(vm string) {
	held := t.held[vm]
	delete(t.held, vm)
	t.recordHeldChange(vm, held, nil)
}

// recordHeldChange logs a change of a held lease and wakes the waiting polls of
// peers. A nil lease stands for none.
func (t *Table) recordHeldChange(vm string, before, after *lease) {
	t.log.add(vm, before, after)
	signal := make(chan struct{})
	close(*t.changed.Swap(&signal))
}

// resolveTarget makes the newest record with a valid lease the target of a VM.
// It reports whether the target or its leases changed.
func (t *Table) resolveTarget(vm string, now time.Time, cause string) bool {
	leases := t.newestLeases(vm, now)
	before, known := t.targets[vm]
	if len(leases) == 0 {
		if known {
			delete(t.targets, vm)
			t.published = nil
			t.recorder.Record(timeline.Event{Kind: timeline.TargetLost, VM: vm, Peer: before.Address, Cause: cause})
		}
		return known
	}
	newest := leases[0].record
	t.targets[vm] = Target{Announcement: newest.Announcement, Pool: newest.Pool, Expires: leases[0].end().time(), leases: leases}
	t.published = nil
	if !known || !before.sameContent(&newest.Announcement) {
		t.recordChange(&newest.Announcement)
		return true
	}
	// The content is the same, but readers need the new set of leases.
	return len(before.leases) != len(leases) || before.leases[0] != leases[0]
}

// newestLeases returns the valid leases of a VM that have the newest content.
func (t *Table) newestLeases(vm string, now time.Time) []*lease {
	var newest []*lease
	consider := func(l *lease) {
		switch {
		case l == nil || !l.valid(now):
		case len(newest) == 0:
			newest = []*lease{l}
		case newest[0].record.sameContent(&l.record.Announcement):
			newest = append(newest, l)
		case l.record.compare(&newest[0].record) > 0:
			newest = []*lease{l}
		}
	}
	consider(t.held[vm])
	for _, peer := range t.peers {
		consider(peer.leases[vm])
	}
	return newest
}

func (t *Table) recordChange(a *Announcement) {
	kind := timeline.TargetJoined
	if a.Leaving {
		kind = timeline.TargetLeaving
	}
	t.recorder.Record(timeline.Event{Kind: kind, VM: a.VM, Peer: a.Address})
}
