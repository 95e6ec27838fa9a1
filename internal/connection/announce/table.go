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
	// ErrUnknownVM says that no declared VM of the zone has the name.
	ErrUnknownVM = errors.New("no VM of this zone has the name")
	// ErrSuperseded says that a newer run of the VM's target is live.
	ErrSuperseded = errors.New("a newer run of this VM's target is live")
	// ErrOtherPool says that the VM's live target bears another pool's token.
	ErrOtherPool = errors.New("the VM's live target bears the token of another pool")
	// ErrStalled says that this process was stopped for a while: what it
	// reads now may have waited since. The target is to announce itself again.
	ErrStalled = errors.New("this entry was stopped for a while, announce again")
)

// Table keeps the leases known to one entry. It is safe for concurrent use.
type Table struct {
	recorder *timeline.Recorder
	// onChange is called after a target joined, left or changed.
	onChange func()
	// known says whether a VM may announce itself here.
	known func(vm string) bool
	// incarnation names this run of the table to peers.
	incarnation string
	guard       stallGuard

	mu    sync.Mutex
	held  map[string]*lease
	log   changeLog
	peers map[string]*peerLeases
	// targets joins held and peer leases: the winner for each VM.
	targets map[string]Target
	// published is a copy of targets, nil once they changed.
	published *Snapshot
	// changed is closed and replaced when a held lease changes.
	changed atomic.Pointer[chan struct{}]
}

// NewTable returns an empty table that takes all VMs that known admits.
func NewTable(recorder *timeline.Recorder, known func(vm string) bool, onChange func()) *Table {
	t := &Table{recorder: recorder, known: known, onChange: onChange, incarnation: rand.Text(), guard: stallGuard{seenAt: time.Now()},
		held: map[string]*lease{}, peers: map[string]*peerLeases{}, targets: map[string]Target{}}
	signal := make(chan struct{})
	t.changed.Store(&signal)
	return t
}

// Snapshot returns the targets as of now. It copies only after a change.
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

// Accept stores an announcement from a target that bears a pool's token.
func (t *Table) Accept(a Announcement, pool string) (Lease, error) {
	if !t.known(a.VM) {
		return Lease{}, ErrUnknownVM
	}
	now := time.Now()
	if !a.Leaving && !t.guard.trusts(now) {
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
	if current, known := t.targets[a.VM]; known && anyRuns(current.leases, now) {
		if current.compareRun(&a) > 0 {
			return false, ErrSuperseded
		}
		if current.Pool != pool {
			return false, ErrOtherPool
		}
	}
	held := t.held[a.VM]
	if held != nil && held.record.same(&a) && held.record.Pool == pool {
		held.own.Load().set(now.Add(LeaseTime))
		return false, nil
	}
	t.held[a.VM] = newHeld(Record{Announcement: a, Pool: pool, Stamp: t.recorder.Now()}, now.Add(LeaseTime))
	t.noteHeld(a.VM, held, t.held[a.VM])
	return t.resolve(a.VM, now, ""), nil
}

// Expire drops the leases that ended. It has to be called several times a
// second: a pause between two calls is taken for a stop of the process.
func (t *Table) Expire(now time.Time) {
	t.guard.tick(now)
	t.mu.Lock()
	for vm, held := range t.held {
		if !held.runs(now) {
			t.dropHeld(vm)
		}
	}
	for _, peer := range t.peers {
		if !peer.vouched.after(now) {
			peer.reset()
		}
	}
	changed := false
	for vm, target := range t.targets {
		if !anyRuns(target.leases, now) {
			changed = t.resolve(vm, now, "lease ended") || changed
		}
	}
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}

func (t *Table) dropHeld(vm string) {
	held := t.held[vm]
	delete(t.held, vm)
	t.noteHeld(vm, held, nil)
}

// noteHeld logs a change of a held lease and wakes the peers' polls.
func (t *Table) noteHeld(vm string, before, after *lease) {
	t.log.note(vm, before, after)
	signal := make(chan struct{})
	close(*t.changed.Swap(&signal))
}

// resolve makes the newest live record the target of a VM. It returns
// whether the target changed.
func (t *Table) resolve(vm string, now time.Time, cause string) bool {
	leases := t.winners(vm, now)
	before, known := t.targets[vm]
	if len(leases) == 0 {
		if known {
			delete(t.targets, vm)
			t.published = nil
			t.recorder.Record(timeline.Event{Kind: timeline.TargetLost, VM: vm, Peer: before.Address, Cause: cause})
		}
		return known
	}
	winner := leases[0].record
	t.targets[vm] = Target{Announcement: winner.Announcement, Pool: winner.Pool, Expires: leases[0].end().time(), leases: leases}
	t.published = nil
	if !known || !before.same(&winner.Announcement) {
		t.recordChange(&winner.Announcement)
		return true
	}
	// Only the set of leases changed: readers need the new one.
	return len(before.leases) != len(leases) || before.leases[0] != leases[0]
}

// winners returns the live leases of a VM with the newest content.
func (t *Table) winners(vm string, now time.Time) []*lease {
	var best []*lease
	consider := func(l *lease) {
		switch {
		case l == nil || !l.runs(now):
		case len(best) == 0:
			best = []*lease{l}
		case best[0].record.same(&l.record.Announcement):
			best = append(best, l)
		case l.record.compare(&best[0].record) > 0:
			best = []*lease{l}
		}
	}
	consider(t.held[vm])
	for _, peer := range t.peers {
		consider(peer.leases[vm])
	}
	return best
}

func (t *Table) recordChange(a *Announcement) {
	kind := timeline.TargetJoined
	if a.Leaving {
		kind = timeline.TargetLeaving
	}
	t.recorder.Record(timeline.Event{Kind: kind, VM: a.VM, Peer: a.Address})
}
