package announce

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"arbutusward.example/arbutusward/internal/process/timeline"
)

func newTestTable(id string) *Table {
	return NewTable(timeline.NewRecorder(id, "za"), func(string) bool { return true }, func() {})
}

func announcement(vm string, startedMS int64) Announcement {
	return Announcement{VM: vm, Address: "127.0.0.1:1", Services: []string{"booking"}, Incarnation: fmt.Sprint("run", startedMS), StartedMS: startedMS}
}

// heldRemaining returns the remaining time of a held lease, or 0 if there is none.
func heldRemaining(t *Table, vm string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held := t.held[vm]; held != nil {
		return held.end().remaining(now)
	}
	return 0
}

// TestPeerNeverKeepsALeaseLongerThanItsHolder guards against a lease that
// expires later at a peer than at its holder. Targets are announced, aged and
// changed at random in one table, and another table polls it; some answers are
// lost.
func TestPeerNeverKeepsALeaseLongerThanItsHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder, peer := newTestTable("holder"), newTestTable("peer")
		vms := []string{"vm1", "vm2", "vm3"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			vm := rapid.SampledFrom(vms).Draw(t, "vm")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				a := announcement(vm, 1)
				a.Leaving = rapid.Bool().Draw(t, "leaving")
				if _, err := holder.Accept(a, "booking"); err != nil {
					t.Fatal(err)
				}
			case 1:
				age(holder, vm, time.Duration(rapid.IntRange(0, 2600).Draw(t, "age"))*time.Millisecond)
			case 2:
				holder.Expire(time.Now())
			case 3:
				askedAt := time.Now()
				incarnation, sequence := peer.PeerState("holder")
				changes := holder.ChangesSince(incarnation, sequence, askedAt)
				if !rapid.Bool().Draw(t, "arrives") {
					continue
				}
				if !peer.ApplyPeer("holder", askedAt, changes) {
					t.Fatal("the digest does not match")
				}
				checkLeases(t, holder, peer, vms)
			}
		}
	})
}

// age shortens the remaining time of a held lease.
func age(t *Table, vm string, by time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held := t.held[vm]; held != nil {
		end := held.ownExpiry.Load()
		end.sinceStart.Add(-int64(by))
	}
}

// checkLeases compares the peer's copy of the leases with those of the holder,
// if the copy has all changes.
func checkLeases(t *rapid.T, holder, peer *Table, vms []string) {
	copied := peer.peers["holder"]
	if copied == nil || copied.sequence != holder.log.sequence {
		return
	}
	now := time.Now()
	for _, vm := range vms {
		known := copied.leases[vm]
		if known == nil {
			continue
		}
		// Remaining times are rounded to milliseconds.
		if left, held := known.end().remaining(now), heldRemaining(holder, vm, now); left > 0 && left > held+time.Millisecond {
			t.Fatalf("%s: %s left at the peer, %s at the holder", vm, left, held)
		}
	}
}

func TestNewestIncarnationOfATargetTakesPrecedenceInEveryEntry(t *testing.T) {
	first, second := newTestTable("first"), newTestTable("second")
	for _, order := range [][]int64{{1, 2}, {2, 1}} {
		for _, startedMS := range order {
			_, err := first.Accept(announcement("vm", startedMS), "booking")
			if superseded := err == ErrSuperseded; superseded != (startedMS == 1 && order[0] == 2) {
				t.Errorf("incarnation %d of %v: %v", startedMS, order, err)
			}
		}
	}
	if _, err := second.Accept(announcement("vm", 1), "booking"); err != nil {
		t.Fatal(err)
	}
	incarnation, sequence := second.PeerState("first")
	second.ApplyPeer("first", time.Now(), first.ChangesSince(incarnation, sequence, time.Now()))
	if target := second.Snapshot().Targets["vm"]; target.StartedMS != 2 {
		t.Errorf("incarnation %d is the target at the peer", target.StartedMS)
	}
	if _, err := second.Accept(announcement("vm", 1), "booking"); err != ErrSuperseded {
		t.Errorf("the older incarnation got the error %v", err)
	}
}

func TestPeerIsAskedForAllLeasesAfterADigestMismatch(t *testing.T) {
	holder, peer := newTestTable("holder"), newTestTable("peer")
	if _, err := holder.Accept(announcement("vm1", 1), "booking"); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	changes := holder.ChangesSince("", 0, now)
	changes.Records = nil
	if peer.ApplyPeer("holder", now, changes) {
		t.Fatal("an answer without one of the leases was applied")
	}
	incarnation, sequence := peer.PeerState("holder")
	if full := holder.ChangesSince(incarnation, sequence, now); !full.Full || len(full.Records) != 1 {
		t.Errorf("the next answer is %+v", full)
	}
}

func TestRenewalsMakeNoNewSnapshot(t *testing.T) {
	table := newTestTable("entry")
	for i := range 300 {
		if _, err := table.Accept(announcement(fmt.Sprint("vm", i), 1), "booking"); err != nil {
			t.Fatal(err)
		}
	}
	before := table.Snapshot()
	for i := range 300 {
		if _, err := table.Accept(announcement(fmt.Sprint("vm", i), 1), "booking"); err != nil {
			t.Fatal(err)
		}
	}
	if table.Snapshot() != before {
		t.Error("renewals made a new snapshot")
	}
}
