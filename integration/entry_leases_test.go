package integration

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/report"
)

// noNewWorkAfter is the time after which a target that is leaving or has stopped
// announcing itself may get no new work.
const noNewWorkAfter = 3 * time.Second

// TestTargetHeardByOneEntryIsServedByItsZonePeersOnly starts a target that
// announces itself to one entry of zone za. The other entry of za must send work
// to it too, the entry of zb must not.
func TestTargetHeardByOneEntryIsServedByItsZonePeersOnly(t *testing.T) {
	t.Parallel()
	d, first, peer := newZonePeers(t)
	other := d.addEntry("entry-b1", "zb")
	d.addTargetAt("booking-a-1", "booking", first.settings.Announce)
	d.apply(smallFleet)
	d.waitServed(first.url() + "/booking/1")
	d.waitServed(peer.url() + "/booking/1")
	if got := mustCall(t, http.MethodGet, other.url()+"/booking/1"); got.outcome == "ran" {
		t.Errorf("the entry of another zone sent work to %s", got.vm())
	}
}

// TestLeavingTargetGetsNoNewWorkInAnyEntry has a target announce its shutdown to
// one entry. Neither that entry nor its zone peer may send it more work.
func TestLeavingTargetGetsNoNewWorkInAnyEntry(t *testing.T) {
	t.Parallel()
	d, first, peer := newZonePeers(t)
	leaving := d.addTargetAt("booking-a-1", "booking", first.settings.Announce)
	d.addTargetAt("booking-a-2", "booking", first.settings.Announce)
	d.apply(smallFleet)
	d.waitEntriesServe("/booking/1")
	leaving.SetLeaving(true)
	time.Sleep(noNewWorkAfter)
	before := len(leaving.Runs())
	for _, entry := range []*entryProcess{first, peer} {
		for range 30 {
			if got := mustCall(t, http.MethodGet, entry.url()+"/booking/1"); got.outcome != "ran" {
				t.Fatalf("%s refused although another target is live: %d %s", entry.id, got.status, got.body)
			}
		}
	}
	if runs := len(leaving.Runs()) - before; runs != 0 {
		t.Errorf("the leaving target got %d requests after %s", runs, noNewWorkAfter)
	}
}

// TestSilentTargetGetsNoNewWorkInAnyEntry drops the announcements of a target
// that still serves.
func TestSilentTargetGetsNoNewWorkInAnyEntry(t *testing.T) {
	t.Parallel()
	d, first, peer := newZonePeers(t)
	relay := newTCPRelay(t, first.settings.Announce)
	unresponsive := d.addTargetAt("booking-a-1", "booking", relay.address)
	d.apply(smallFleet)
	d.waitEntriesServe("/booking/1")
	relay.setSilent(true)
	time.Sleep(noNewWorkAfter)
	before := len(unresponsive.Runs())
	for _, entry := range []*entryProcess{first, peer} {
		if got := mustCall(t, http.MethodGet, entry.url()+"/booking/1"); got.outcome != "not-run" {
			t.Errorf("%s answered %q for a service without live targets", entry.id, got.outcome)
		}
	}
	if runs := len(unresponsive.Runs()) - before; runs != 0 {
		t.Errorf("the target got %d requests more than %s after its last announcement", runs, noNewWorkAfter)
	}
}

// TestTargetsOfASilentEntryExpireAtItsPeersUnlessAnnouncedElsewhere freezes the
// entry that holds the leases of two targets. One of them also announces itself
// to the other entry.
func TestTargetsOfASilentEntryExpireAtItsPeersUnlessAnnouncedElsewhere(t *testing.T) {
	t.Parallel()
	d, holder, peer := newZonePeers(t)
	lost := d.addTargetAt("booking-a-1", "booking", holder.settings.Announce)
	d.addTargetAt("booking-a-2", "booking", holder.settings.Announce, peer.settings.Announce)
	d.apply(smallFleet)
	d.waitEntriesServe("/booking/1")
	holder.signal(syscall.SIGSTOP)
	time.Sleep(noNewWorkAfter)
	before := len(lost.Runs())
	for range 30 {
		if got := mustCall(t, http.MethodGet, peer.url()+"/booking/1"); got.vm() != "booking-a-2" {
			t.Fatalf("%s answered %q", got.vm(), got.outcome)
		}
	}
	if runs := len(lost.Runs()) - before; runs != 0 {
		t.Errorf("the target announced only to the frozen entry got %d requests", runs)
	}
	holder.signal(syscall.SIGCONT)
}

// TestWokenEntrySendsNoWorkOnLeasesThatEndedWhileItWasStopped suspends an entry,
// drops the announcements of its target until the lease has expired, and resumes
// the entry with requests waiting.
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
	time.AfterFunc(noNewWorkAfter-200*time.Millisecond, func() {
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
	time.Sleep(noNewWorkAfter + 200*time.Millisecond)
	entry.signal(syscall.SIGCONT)
	for range waiting {
		if got := <-answers; got.outcome != "not-run" {
			t.Errorf("answer %d with outcome %q", got.status, got.outcome)
		}
	}
	if runs := len(target.Runs()) - before; runs != 0 {
		t.Errorf("the resumed entry sent %d requests on an expired lease", runs)
	}
}

// TestBriefStopOfAnEntryEndsNoLeaseOfALiveTarget suspends an entry for a third of
// a lease, at several moments of the interval of the announcements.
func TestBriefStopOfAnEntryEndsNoLeaseOfALiveTarget(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	entry := d.addEntry("entry-a1", "za")
	d.addSmallTargets()
	d.apply(smallFleet)
	d.waitInForce(consoleLimit)
	d.waitServed(entry.url() + "/booking/1")
	from := time.Now().UTC().Format(time.RFC3339Nano)
	const stops = 5
	for i := range stops {
		entry.freeze()
		time.Sleep(announce.LeaseTime / 3)
		entry.signal(syscall.SIGCONT)
		time.Sleep(announce.LeaseTime + time.Duration(i)*announce.NextInterval/5)
	}
	result := d.ctl(keys.Viewer, "report", "--from", from, "-o", "json")
	result.expect(t, 0)
	var built report.Report
	must(t, json.Unmarshal([]byte(result.stdout), &built))
	for _, found := range built.Interruptions {
		if found.Kind == timeline.TargetLost {
			t.Errorf("%s was lost: %+v", found.Subject, found)
		}
	}
	log, err := os.ReadFile(entry.logPath)
	must(t, err)
	if noticed := strings.Count(string(log), "entry was suspended"); noticed < stops {
		t.Errorf("the entry noticed %d of %d stops", noticed, stops)
	}
}

// TestAnnouncementIsRefusedWithAClearAnswer sends announcements with tokens and VM
// names that are not valid.
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

// TestSlotsOfAVMAreSharedByTheEntriesOfItsZone loads one VM with 8 slots through
// two entries, and through the remaining one after the other was killed.
func TestSlotsOfAVMAreSharedByTheEntriesOfItsZone(t *testing.T) {
	t.Parallel()
	const slots = 8
	d, first, second := newZonePeers(t)
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
	time.Sleep(noNewWorkAfter)
	loadAll(second)
	if peak := target.Peak(); peak != slots {
		t.Errorf("the remaining entry used %d of %d slots", peak, slots)
	}
}
