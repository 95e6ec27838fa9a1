package control

import (
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/message"
)

// observers keeps the newest report of each entry, in memory only.
type observers struct {
	mu      sync.Mutex
	entries map[string]observation
}

// observation is what was last heard of an entry.
type observation struct {
	report  message.Report
	heardAt time.Time
	// reportedAt is when the last report came; Drained holds for it alone.
	reportedAt time.Time
}

func newObservers() *observers { return &observers{entries: map[string]observation{}} }

func (o *observers) clear() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries = map[string]observation{}
}

// note stores a report, unless a newer revision of the same run is known.
func (o *observers) note(report message.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.entries[report.EntryID] = observation{report: report, heardAt: now, reportedAt: now}
}

// noteRevision stores the revision that a watch acknowledged.
func (o *observers) noteRevision(id, zone string, revision, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.entries[id]
	seen.report.EntryID, seen.report.Zone = id, zone
	seen.report.Revision, seen.report.Version = revision, version
	seen.heardAt = time.Now()
	o.entries[id] = seen
}

// get returns the last observation of an entry.
func (o *observers) get(id string) (observation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen, ok := o.entries[id]
	return seen, ok
}
