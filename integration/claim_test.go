package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// sendKeyed sends a booking with an idempotency key. The request ID names the
// key and the try.
func sendKeyed(entry *entryProcess, key, try, query string) (callReply, error) {
	return call(http.MethodPost, entry.url()+"/booking/slot?"+query, "Idempotency-Key", key, "X-Request-Id", key+"-"+try)
}

// TestKeyedRequestRunsOnceThroughAllEntriesAndZones sends the same booking
// through all entries at once, and once more when it has run.
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
				if _, err := sendKeyed(entry, key, fmt.Sprint("at-once", i), "sleep_ms=50"); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		first, err := sendKeyed(entries[round%len(entries)], key, "later", "sleep_ms=50")
		must(t, err)
		if first.status != http.StatusOK || first.outcome != "ran" {
			t.Errorf("a repeat of %s was answered with status %d, outcome %q: %s", key, first.status, first.outcome, first.body)
		}
		if runs := countRuns(targets, key+"-"); runs != 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
}

// TestKeyedRequestWhoseEntryDiedIsNeverRunAgain kills an entry while it runs a
// booking. The booking is then repeated through another entry, and through the
// first one after its restart.
func TestKeyedRequestWhoseEntryDiedIsNeverRunAgain(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	killed := d.addEntry("entry-a1", "za")
	other := d.addEntry("entry-b1", "zb")
	targets := d.addSmallTargets()
	d.apply(smallFleet)
	d.waitEntriesServe("/booking/1")
	go func() { _, _ = sendKeyed(killed, "lost", "first", "sleep_ms=1000") }()
	eventually(t, 3*time.Second, "the booking runs", func() error {
		if countRuns(targets, "lost-") == 0 {
			return fmt.Errorf("no target has received it")
		}
		return nil
	})
	killed.kill()
	got, err := sendKeyed(other, "lost", "second", "sleep_ms=1000")
	must(t, err)
	if got.outcome != "unknown" {
		t.Errorf("the repeat was answered with status %d, outcome %q", got.status, got.outcome)
	}
	killed.start()
	d.waitServed(killed.url() + "/booking/1")
	for try := range 3 {
		got, err := sendKeyed(killed, "lost", fmt.Sprint("again", try), "sleep_ms=1000")
		must(t, err)
		if got.outcome != "unknown" {
			t.Errorf("the repeat after the restart was answered with status %d, outcome %q", got.status, got.outcome)
		}
	}
	if runs := countRuns(targets, "lost-"); runs != 1 {
		t.Errorf("the booking ran %d times", runs)
	}
}

// TestKeyedRequestsRunOnceWhileTheLeaderIsLost kills the leader while bookings
// are made. Each caller repeats a booking until it has run.
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
				bookWithRetries(t, entries, fmt.Sprintf("c%d-b%d", caller, booking))
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

// bookWithRetries repeats a booking through alternating entries until it has run.
func bookWithRetries(t *testing.T, entries []*entryProcess, key string) {
	for try := range 100 {
		got, err := sendKeyed(entries[try%len(entries)], key, fmt.Sprint("try", try), "sleep_ms=20")
		if err == nil && got.outcome == "ran" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("%s was never answered as run", key)
}

// TestKeyedRequestIsNotRunWhileControlIsOutOfReach cuts an entry off from
// control. It must refuse requests with an idempotency key and serve others.
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
	got, err := sendKeyed(entry, "cut", "first", "")
	must(t, err)
	if got.outcome != "not-run" || countRuns(targets, "cut-") != 0 {
		t.Errorf("answered with status %d, outcome %q", got.status, got.outcome)
	}
	must(t, checkServing(entry))
	relay.setSilent(false)
	bookWithRetries(t, []*entryProcess{entry}, "cut")
	if runs := countRuns(targets, "cut-"); runs != 1 {
		t.Errorf("the booking ran %d times", runs)
	}
}
