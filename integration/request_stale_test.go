package integration

import (
	"net/http"
	"testing"
	"time"
)

// TestAnnouncementsThatWaitedInAFrozenEntryGrantNoLease lets targets
// announce themselves to a frozen entry and end before it wakes.
func TestAnnouncementsThatWaitedInAFrozenEntryGrantNoLease(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	f.entry.signal(stopSignal)
	time.Sleep(1200 * time.Millisecond)
	for _, target := range f.targets {
		target.StopAnnouncing()
	}
	time.Sleep(3 * time.Second)
	f.entry.signal(continueSignal)
	time.Sleep(300 * time.Millisecond)
	for _, answer := range f.sendMany(10, http.MethodGet, "/booking/1") {
		answer.expect(t, http.StatusServiceUnavailable, "not-run")
	}
}
