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
	// report holds all targets, also when the last one told changes only.
	report  message.Report
	heardAt time.Time
	// reportedAt is when the last report came; Drained holds for it alone.
	reportedAt time.Time
	// revision and version are those in force, as the entry's newest watch
	// said. A report may have been made before that watch and come after it.
	revision, version uint64
}

func newObservers() *observers { return &observers{entries: map[string]observation{}} }

func (o *observers) clear() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries = map[string]observation{}
}

// note stores a report. It returns false if the targets that are known of
// the entry are not those that it reports about.
func (o *observers) note(report message.Report) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.entries[report.EntryID]
	if !report.Full {
		report.Targets = mergeTargets(seen.report.Targets, report)
	}
	fits := message.DigestTargets(report.Targets) == report.TargetsDigest
	seen.report = report
	seen.heardAt = time.Now()
	seen.reportedAt = seen.heardAt
	o.entries[report.EntryID] = seen
	return fits
}

// mergeTargets applies the changes of a report to the targets known before.
func mergeTargets(known []message.TargetHealth, report message.Report) []message.TargetHealth {
	if len(report.Targets) == 0 && len(report.RemovedTargets) == 0 {
		return known
	}
	replaced := make(map[string]bool, len(report.Targets)+len(report.RemovedTargets))
	for _, target := range report.Targets {
		replaced[target.VM] = true
	}
	for _, vm := range report.RemovedTargets {
		replaced[vm] = true
	}
	merged := make([]message.TargetHealth, 0, len(known)+len(report.Targets))
	for _, target := range known {
		if !replaced[target.VM] {
			merged = append(merged, target)
		}
	}
	return append(merged, report.Targets...)
}

// noteRevision stores the revision that a watch acknowledged.
func (o *observers) noteRevision(id, zone string, revision, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.entries[id]
	seen.report.EntryID, seen.report.Zone = id, zone
	seen.revision, seen.version = revision, version
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
