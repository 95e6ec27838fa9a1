package integration

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// noNewWork is the time after which a leaving or silent target may get no
// new work.
const noNewWork = 3 * time.Second

// TestTargetHeardByOneEntryIsServedByItsZonePeersOnly starts targets that
// announce themselves to one entry of zone za.
func TestTargetHeardByOneEntryIsServedByItsZonePeersOnly(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	first := d.addEntry("entry-a1", "za")
	peer := d.addEntry("entry-a2", "za")
	other := d.addEntry("entry-b1", "zb")
	d.addTargetAt("booking-a-1", "booking", first.settings.Announce)
	d.apply(smallFleet)
	d.waitServed(first.url() + "/booking/1")
	d.waitServed(peer.url() + "/booking/1")
	if got := mustCall(t, http.MethodGet, other.url()+"/booking/1"); got.outcome == "ran" {
		t.Errorf("the entry of another zone sent work to %s", got.vm())
	}
}

// TestLeavingTargetGetsNoNewWorkInAnyEntry lets a target leave that
// announces itself to one entry.
func TestLeavingTargetGetsNoNewWorkInAnyEntry(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	first := d.addEntry("entry-a1", "za")
	peer := d.addEntry("entry-a2", "za")
	leaving := d.addTargetAt("booking-a-1", "booking", first.settings.Announce)
	d.addTargetAt("booking-a-2", "booking", first.settings.Announce)
	d.apply(smallFleet)
	d.waitEntriesServe("/booking/1")
	leaving.SetLeaving(true)
	time.Sleep(noNewWork)
	before := len(leaving.Runs())
	for _, entry := range []*entryProcess{first, peer} {
		for range 30 {
			if got := mustCall(t, http.MethodGet, entry.url()+"/booking/1"); got.outcome != "ran" {
				t.Fatalf("%s refused although a target stays: %d %s", entry.id, got.status, got.body)
			}
		}
	}
	if runs := len(leaving.Runs()) - before; runs != 0 {
		t.Errorf("the leaving target got %d requests after %s", runs, noNewWork)
	}
}

// TestSilentTargetGetsNoNewWorkInAnyEntry silences the announcements of a
// target that still serves.
func TestSilentTargetGetsNoNewWorkInAnyEntry(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	first := d.addEntry("entry-a1", "za")
	peer := d.addEntry("entry-a2", "za")
	relay := newTCPRelay(t, first.settings.Announce)
	silent := d.addTargetAt("booking-a-1", "booking", relay.address)
	d.apply(smallFleet)
	d.waitEntriesServe("/booking/1")
	relay.setSilent(true)
	time.Sleep(noNewWork)
	before := len(silent.Runs())
	for _, entry := range []*entryProcess{first, peer} {
		if got := mustCall(t, http.MethodGet, entry.url()+"/booking/1"); got.outcome != "not-run" {
			t.Errorf("%s answered %q for a service without live targets", entry.id, got.outcome)
		}
	}
	if runs := len(silent.Runs()) - before; runs != 0 {
		t.Errorf("the silent target got %d requests after %s", runs, noNewWork)
	}
}

// TestTargetsOfASilentEntryExpireAtItsPeersUnlessAnnouncedElsewhere freezes
// the entry that holds the leases of two targets; one of them has a second
// entry to announce itself to.
func TestTargetsOfASilentEntryExpireAtItsPeersUnlessAnnouncedElsewhere(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	holder := d.addEntry("entry-a1", "za")
	peer := d.addEntry("entry-a2", "za")
	lost := d.addTargetAt("booking-a-1", "booking", holder.settings.Announce)
	d.addTargetAt("booking-a-2", "booking", holder.settings.Announce, peer.settings.Announce)
	d.apply(smallFleet)
	d.waitEntriesServe("/booking/1")
	holder.signal(syscall.SIGSTOP)
	time.Sleep(noNewWork)
	before := len(lost.Runs())
	for range 30 {
		if got := mustCall(t, http.MethodGet, peer.url()+"/booking/1"); got.vm() != "booking-a-2" {
			t.Fatalf("%s answered %q", got.vm(), got.outcome)
		}
	}
	if runs := len(lost.Runs()) - before; runs != 0 {
		t.Errorf("the target of the silent entry got %d requests", runs)
	}
	holder.signal(syscall.SIGCONT)
}

// TestWokenEntrySendsNoWorkOnLeasesThatEndedWhileItWasStopped stops an
// entry, silences its targets and wakes it with requests waiting.
func TestWokenEntrySendsNoWorkOnLeasesThatEndedWhileItWasStopped(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	entry := d.addEntry("entry-a1", "za")
	relay := newTCPRelay(t, entry.settings.Announce)
	target := d.addTargetAt("booking-a-1", "booking", relay.address)
	d.apply(smallFleet)
	d.waitServed(entry.url() + "/booking/1")
	relay.setSilent(true)
	entry.signal(syscall.SIGSTOP)
	before := len(target.Runs())
	const waiting = 20
	answers := make(chan callReply, waiting)
	time.AfterFunc(noNewWork-200*time.Millisecond, func() {
		for range waiting {
			go func() {
				got, err := call(http.MethodGet, entry.url()+"/booking/stale")
				if err != nil {
					t.Error(err)
				}
				answers <- got
			}()
		}
	})
	time.Sleep(noNewWork + 200*time.Millisecond)
	entry.signal(syscall.SIGCONT)
	for range waiting {
		if got := <-answers; got.outcome != "not-run" {
			t.Errorf("answer %d with outcome %q", got.status, got.outcome)
		}
	}
	if runs := len(target.Runs()) - before; runs != 0 {
		t.Errorf("the woken entry sent %d requests on a lease that had ended", runs)
	}
}

// TestAnnouncementIsRefusedWithAClearAnswer announces with bad tokens and names.
func TestAnnouncementIsRefusedWithAClearAnswer(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	entry := d.addEntry("entry-a1", "za")
	d.addTargetAt("booking-a-1", "booking", entry.settings.Announce)
	d.apply(smallFleet)
	d.waitServed(entry.url() + "/booking/1")
	good := d.token("target", "booking")
	cases := []struct {
		name, token, vm string
		startedMS       int
		status          int
	}{
		{"no token", "", "booking-a-2", 1, http.StatusUnauthorized},
		{"forged token", good[:len(good)-4] + "AAAA", "booking-a-2", 1, http.StatusUnauthorized},
		{"operator's token", d.token("admin", "tester"), "booking-a-2", 1, http.StatusForbidden},
		{"unknown VM", good, "booking-a-99", 1, http.StatusNotFound},
		{"VM of another zone", good, "booking-b-1", 1, http.StatusNotFound},
		{"older run of a live target", good, "booking-a-1", 1, http.StatusConflict},
		{"token of another pool for a live target", d.token("target", "office"), "booking-a-1", 9_000_000_000_000, http.StatusForbidden},
		{"other VM of the pool", good, "booking-a-2", 1, http.StatusOK},
	}
	for _, c := range cases {
		if status := announceOnce(t, entry, c.token, c.vm, c.startedMS); status != c.status {
			t.Errorf("%s: status %d, expected %d", c.name, status, c.status)
		}
	}
}

// TestSlotsOfAVMAreSharedByTheEntriesOfItsZone loads one VM of 8 slots
// through two entries, and through the one that is left when the other died.
func TestSlotsOfAVMAreSharedByTheEntriesOfItsZone(t *testing.T) {
	t.Parallel()
	const slots = 8
	d := newDeployment(t)
	d.addControls("za")
	first := d.addEntry("entry-a1", "za")
	second := d.addEntry("entry-a2", "za")
	target := d.addTargetAt("office-a-1", "office", first.settings.Announce, second.settings.Announce)
	d.apply(smallFleet)
	d.waitEntriesServe("/office/1")
	time.Sleep(time.Second)
	loadAll := func(entries ...*entryProcess) {
		var group sync.WaitGroup
		for _, entry := range entries {
			for range 3 * slots {
				group.Go(func() { _, _ = call(http.MethodGet, entry.url()+"/office/load?sleep_ms=200") })
			}
		}
		group.Wait()
	}
	loadAll(first, second)
	if peak := target.Peak(); peak > slots {
		t.Errorf("%d requests ran at once on %d slots", peak, slots)
	}
	first.kill()
	time.Sleep(noNewWork)
	loadAll(second)
	if peak := target.Peak(); peak != slots {
		t.Errorf("the entry that is left used %d of %d slots", peak, slots)
	}
}
