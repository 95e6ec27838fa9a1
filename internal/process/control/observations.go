package control

import (
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/message"
)

// observations keeps the newest report of each entry. It is kept in memory
// only.
type observations struct {
	mu      sync.Mutex
	entries map[string]observation
}

// observation is the last known state of an entry.
type observation struct {
	// report contains all targets, even if the last report listed only
	// changes.
	report      message.Report
	lastContact time.Time
	// reportedAt is the time of the last report. The report's field Drained
	// is valid only as of that time.
	reportedAt time.Time
	// revision and version are the ones in force according to the entry's
	// newest watch. A report may have been created before that watch and
	// arrive after it.
	revision, version uint64
}

func newObservations() *observations { return &observations{entries: map[string]observation{}} }

func (o *observations) clear() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries = map[string]observation{}
}

// record stores a report. It returns false if the known targets of the entry
// do not match the digest in the report.
func (o *observations) record(report message.Report) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := o.entries[report.EntryID]
	if !report.Full {
		report.Targets = mergeTargets(last.report.Targets, report)
	}
	matches := message.DigestTargets(report.Targets) == report.TargetsDigest
	last.report = report
	last.lastContact = time.Now()
	last.reportedAt = last.lastContact
	o.entries[report.EntryID] = last
	return matches
}

// mergeTargets applies the changes of a report to the known targets.
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

// recordRevision stores the revision that a watch acknowledged.
func (o *observations) recordRevision(id, zone string, revision, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := o.entries[id]
	last.report.EntryID, last.report.Zone = id, zone
	last.revision, last.version = revision, version
	last.lastContact = time.Now()
	o.entries[id] = last
}

// get returns the last observation of an entry and whether there is one.
func (o *observations) get(id string) (observation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, ok := o.entries[id]
	return last, ok
}
