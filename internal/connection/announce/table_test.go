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

// heldRemaining returns the remaining life of a held lease, 0 if none is held.
func heldRemaining(t *Table, vm string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held := t.held[vm]; held != nil {
		return held.end().remaining(now)
	}
	return 0
}

// TestPeerNeverKeepsALeaseLongerThanItsHolder announces, ages and changes
// targets at random at one table and tells another; answers may be lost,
// or come late. No lease may end later at the peer.
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
					t.Fatal("the digest does not fit")
				}
				checkLeases(t, holder, peer, vms)
			}
		}
	})
}

// age moves the end of a held lease nearer.
func age(t *Table, vm string, by time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held := t.held[vm]; held != nil {
		end := held.own.Load()
		end.sinceStart.Add(-int64(by))
	}
}

// checkLeases compares what the peer was told with what the holder knows,
// if the peer has just been told.
func checkLeases(t *rapid.T, holder, peer *Table, vms []string) {
	told := peer.peers["holder"]
	if told == nil || told.sequence != holder.log.sequence {
		return
	}
	now := time.Now()
	for _, vm := range vms {
		known := told.leases[vm]
		if known == nil {
			continue
		}
		// A millisecond covers the rounding of what remains.
		if left, held := known.end().remaining(now), heldRemaining(holder, vm, now); left > 0 && left > held+time.Millisecond {
			t.Fatalf("%s: %s left at the peer, %s at the holder", vm, left, held)
		}
	}
}

func TestNewestRunOfATargetWinsWhereverItIsHeard(t *testing.T) {
	first, second := newTestTable("first"), newTestTable("second")
	for _, order := range [][]int64{{1, 2}, {2, 1}} {
		for _, startedMS := range order {
			_, err := first.Accept(announcement("vm", startedMS), "booking")
			if superseded := err == ErrSuperseded; superseded != (startedMS == 1 && order[0] == 2) {
				t.Errorf("run %d of %v: %v", startedMS, order, err)
			}
		}
	}
	if _, err := second.Accept(announcement("vm", 1), "booking"); err != nil {
		t.Fatal(err)
	}
	incarnation, sequence := second.PeerState("first")
	second.ApplyPeer("first", time.Now(), first.ChangesSince(incarnation, sequence, time.Now()))
	if winner := second.Snapshot().Targets["vm"]; winner.StartedMS != 2 {
		t.Errorf("run %d won at the peer", winner.StartedMS)
	}
	if _, err := second.Accept(announcement("vm", 1), "booking"); err != ErrSuperseded {
		t.Errorf("the older run was answered %v", err)
	}
}

func TestPeerWhoseDigestDoesNotFitIsAskedForAllLeases(t *testing.T) {
	holder, peer := newTestTable("holder"), newTestTable("peer")
	if _, err := holder.Accept(announcement("vm1", 1), "booking"); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	changes := holder.ChangesSince("", 0, now)
	changes.Records = nil
	if peer.ApplyPeer("holder", now, changes) {
		t.Fatal("an answer that lacks a lease was taken")
	}
	incarnation, sequence := peer.PeerState("holder")
	if full := holder.ChangesSince(incarnation, sequence, now); !full.Full || len(full.Records) != 1 {
		t.Errorf("the next answer is %+v", full)
	}
}

func TestRenewalsCopyNothing(t *testing.T) {
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
