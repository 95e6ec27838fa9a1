package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// keyed makes a booking under an idempotency key.
func keyed(entry *entryProcess, key, try, query string) (callReply, error) {
	return call(http.MethodPost, entry.url()+"/booking/slot?"+query, "Idempotency-Key", key, "X-Request-Id", key+"-"+try)
}

// TestKeyedRequestRunsOnceThroughAllEntriesAndZones sends the same booking
// through every entry at once, and again later.
func TestKeyedRequestRunsOnceThroughAllEntriesAndZones(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	entries := []*entryProcess{d.addEntry("entry-a1", "za"), d.addEntry("entry-a2", "za"), d.addEntry("entry-b1", "zb")}
	targets := d.addSmallTargets()
	d.apply(smallFleet)
	d.waitEntriesServe("/booking/1")
	for round := range 10 {
		key := fmt.Sprint("booking", round)
		var group sync.WaitGroup
		for i, entry := range entries {
			group.Go(func() {
				if _, err := keyed(entry, key, fmt.Sprint("at-once", i), "sleep_ms=50"); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		first, err := keyed(entries[round%len(entries)], key, "later", "sleep_ms=50")
		must(t, err)
		if first.status != http.StatusOK || first.outcome != "ran" {
			t.Errorf("a repeat of %s was answered %d, %q: %s", key, first.status, first.outcome, first.body)
		}
		if runs := countRuns(targets, key+"-"); runs != 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
}

// TestKeyedRequestWhoseEntryDiedIsNeverRunAgain kills the entry while the
// booking runs, and sends it again through others and after its restart.
func TestKeyedRequestWhoseEntryDiedIsNeverRunAgain(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	dying := d.addEntry("entry-a1", "za")
	other := d.addEntry("entry-b1", "zb")
	targets := d.addSmallTargets()
	d.apply(smallFleet)
	d.waitEntriesServe("/booking/1")
	go func() { _, _ = keyed(dying, "lost", "first", "sleep_ms=1000") }()
	eventually(t, 3*time.Second, "the booking runs", func() error {
		if countRuns(targets, "lost-") == 0 {
			return fmt.Errorf("no target has it")
		}
		return nil
	})
	dying.kill()
	got, err := keyed(other, "lost", "second", "sleep_ms=1000")
	must(t, err)
	if got.outcome != "unknown" {
		t.Errorf("the repeat was answered %d with outcome %q", got.status, got.outcome)
	}
	dying.start()
	d.waitServed(dying.url() + "/booking/1")
	for try := range 3 {
		got, err := keyed(dying, "lost", fmt.Sprint("again", try), "sleep_ms=1000")
		must(t, err)
		if got.outcome != "unknown" {
			t.Errorf("the repeat after the restart was answered %d with outcome %q", got.status, got.outcome)
		}
	}
	if runs := countRuns(targets, "lost-"); runs != 1 {
		t.Errorf("the booking ran %d times", runs)
	}
}

// TestKeyedRequestsRunOnceWhileTheLeaderIsLost kills a control process
// while bookings are made; each caller repeats its booking until it ran.
func TestKeyedRequestsRunOnceWhileTheLeaderIsLost(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za", "za", "zb")
	entries := []*entryProcess{d.addEntry("entry-a1", "za"), d.addEntry("entry-b1", "zb")}
	targets := d.addSmallTargets()
	d.apply(smallFleet)
	d.waitEntriesServe("/booking/1")
	status, err := d.status()
	must(t, err)
	leader := d.controls[status.Replica.Leader]
	const callers, bookings = 6, 12
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for booking := range bookings {
				book(t, entries, fmt.Sprintf("c%d-b%d", caller, booking))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	leader.kill()
	time.Sleep(3 * time.Second)
	leader.start()
	group.Wait()
	for caller := range callers {
		for booking := range bookings {
			key := fmt.Sprintf("c%d-b%d", caller, booking)
			if runs := countRuns(targets, key+"-"); runs != 1 {
				t.Errorf("%s ran %d times", key, runs)
			}
		}
	}
}

// book repeats a booking through alternating entries until it ran.
func book(t *testing.T, entries []*entryProcess, key string) {
	for try := range 100 {
		got, err := keyed(entries[try%len(entries)], key, fmt.Sprint("try", try), "sleep_ms=20")
		if err == nil && got.outcome == "ran" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("%s was never answered", key)
}

// TestKeyedRequestIsNotRunWhileControlIsOutOfReach cuts an entry off from
// control: what needs a claim is refused, other work goes on.
func TestKeyedRequestIsNotRunWhileControlIsOutOfReach(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	relay := newUDPRelay(t, d.controls["control-1"].settings.Link)
	entry := d.addEntry("entry-a1", "za", relay.address)
	targets := d.addSmallTargets()
	d.apply(smallFleet)
	d.waitServed(entry.url() + "/booking/1")
	relay.setSilent(true)
	got, err := keyed(entry, "cut", "first", "")
	must(t, err)
	if got.outcome != "not-run" || countRuns(targets, "cut-") != 0 {
		t.Errorf("answered %d with outcome %q", got.status, got.outcome)
	}
	must(t, serves(entry))
	relay.setSilent(false)
	book(t, []*entryProcess{entry}, "cut")
	if runs := countRuns(targets, "cut-"); runs != 1 {
		t.Errorf("the booking ran %d times", runs)
	}
}
