// Package message defines the calls between entries and control processes, and
// between the entries of a zone.
package message

import (
	"fmt"
	"hash/fnv"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Calls from an entry to a control process.
const (
	// WatchKind asks for changes of the view. It sends a Watch and returns a
	// WatchAnswer.
	WatchKind link.Kind = "control.watch"
	// ReportKind reports an entry's observations to the leader. It sends a
	// Report and returns a ReportAnswer.
	ReportKind link.Kind = "control.report"
)

// Watch asks for the changes of the view after a revision. If there are none,
// the control process delays its answer until there are, for at most WaitMS.
type Watch struct {
	// Entry describes the calling entry. The first call registers it.
	Entry view.Entry `cbor:"1,keyasint"`
	// Revision is the revision of the entry's view, and Version the version of
	// the document in force in the entry.
	Revision uint64 `cbor:"2,keyasint"`
	Version  uint64 `cbor:"3,keyasint"`
	WaitMS   int    `cbor:"4,keyasint"`
	// Confirm asks the leader to confirm its leadership before it answers.
	Confirm bool `cbor:"5,keyasint,omitempty"`
	// Registered means that this incarnation of the entry has been in a view.
	// If it is no longer registered, it was removed, and is not registered
	// again.
	Registered bool `cbor:"6,keyasint,omitempty"`
}

// WatchAnswer contains the changes of the view, if any.
type WatchAnswer struct {
	Delta *view.Delta `cbor:"1,keyasint,omitempty"`
	// Confirmed means that control had accepted nothing newer when the call
	// arrived.
	Confirmed bool `cbor:"2,keyasint,omitempty"`
}

// Report contains an entry's observations. An entry sends it once a second and
// when a VM has drained.
type Report struct {
	EntryID string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	// Incarnation differs between starts of one entry.
	Incarnation string `cbor:"3,keyasint"`
	// Revision is the revision of the entry's view, and Version the version of
	// the document in force in the entry.
	Revision uint64 `cbor:"4,keyasint"`
	Version  uint64 `cbor:"5,keyasint"`
	// Drained lists the VMs that get no new work from this entry and have none
	// of its requests in flight, each under the given epoch.
	Drained []DrainedVM `cbor:"6,keyasint,omitempty"`
	// Usage is the usage of each service since the last report.
	Usage []ServiceUsage `cbor:"7,keyasint,omitempty"`
	// Targets lists the targets of the zone whose health changed since the
	// last report, or all of them if Full is set. In the reports that control
	// keeps it lists all targets.
	Targets []TargetHealth `cbor:"8,keyasint,omitempty"`
	// RemovedTargets lists the VMs whose targets the entry no longer knows.
	RemovedTargets []string `cbor:"9,keyasint,omitempty"`
	Full           bool     `cbor:"10,keyasint,omitempty"`
	// TargetsDigest is the DigestTargets of all targets.
	TargetsDigest uint64 `cbor:"11,keyasint"`
}

// DrainedVM confirms that a VM has drained.
type DrainedVM struct {
	VM    string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// ServiceUsage is the usage of one service in one entry over one report interval.
type ServiceUsage struct {
	Service string `cbor:"1,keyasint"`
	// Arrived, Ran, Refused and Spilled count requests.
	Arrived uint64 `cbor:"2,keyasint"`
	Ran     uint64 `cbor:"3,keyasint"`
	Refused uint64 `cbor:"4,keyasint"`
	Spilled uint64 `cbor:"5,keyasint"`
	// BusySlots is the mean number of slots in use.
	BusySlots float64 `cbor:"6,keyasint"`
	// Queued is the number of requests in the queue at the time of the report.
	Queued int `cbor:"7,keyasint"`
}

// TargetHealth is the health of a target as an entry observes it.
type TargetHealth struct {
	VM string `cbor:"1,keyasint"`
	// Live means that the target's lease is valid, and Suspected that it has
	// failed requests recently.
	Live      bool `cbor:"2,keyasint"`
	Suspected bool `cbor:"3,keyasint,omitempty"`
	Leaving   bool `cbor:"4,keyasint,omitempty"`
	// InFlight is the number of the entry's requests in flight to the VM. It is
	// set only for VMs that are not serving, because their drain waits for it.
	InFlight int `cbor:"5,keyasint,omitempty"`
}

// DigestTargets returns a hash of a set of targets, independent of their order.
func DigestTargets(targets []TargetHealth) uint64 {
	var digest uint64
	for _, target := range targets {
		hash := fnv.New64a()
		// Writing to a hash never fails.
		_, _ = fmt.Fprintf(hash, "%s %t %t %t %d", target.VM, target.Live, target.Suspected, target.Leaving, target.InFlight)
		digest ^= hash.Sum64()
	}
	return digest
}

// ReportAnswer acknowledges a report.
type ReportAnswer struct {
	// NeedFull asks for all targets in the next report.
	NeedFull bool `cbor:"1,keyasint,omitempty"`
}
