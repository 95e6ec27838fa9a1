package integration

import (
	"net/http"
	"testing"
	"time"
)

// TestAnnouncementsThatWaitedInAFrozenEntryGrantNoLease has targets announce
// themselves to a frozen entry and stop announcing before it resumes. The entry
// must not grant leases for the announcements that waited in its socket buffers.
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
