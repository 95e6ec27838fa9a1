// Package message defines the calls between the processes of the system.
package message

import (
	"fmt"
	"hash/fnv"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Calls from an entry to a control process.
const (
	// WatchKind asks for changes: Watch, answered by WatchAnswer.
	WatchKind link.Kind = "control.watch"
	// ReportKind tells the leader what an entry sees: Report, answered by ReportAnswer.
	ReportKind link.Kind = "control.report"
)

// Watch asks for the changes after a revision. The control process holds
// the call until there are some, for at most WaitMS.
type Watch struct {
	// Entry describes the asking entry; it is registered at its first call.
	Entry view.Entry `cbor:"1,keyasint"`
	// Revision and Version are in force in the entry.
	Revision uint64 `cbor:"2,keyasint"`
	Version  uint64 `cbor:"3,keyasint"`
	WaitMS   int    `cbor:"4,keyasint"`
	// Confirm asks the leader to confirm that it leads before it answers.
	Confirm bool `cbor:"5,keyasint,omitempty"`
	// Registered says that this run of the entry has been in a view. If it
	// is not registered now, it was removed and is not registered again.
	Registered bool `cbor:"6,keyasint,omitempty"`
}

// WatchAnswer carries the changes, or none.
type WatchAnswer struct {
	Delta *view.Delta `cbor:"1,keyasint,omitempty"`
	// Confirmed says that nothing newer was accepted when the call came.
	Confirmed bool `cbor:"2,keyasint,omitempty"`
}

// Report is what an entry sees, sent once a second and when a VM has drained.
type Report struct {
	EntryID string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	// Incarnation differs between runs of one entry.
	Incarnation string `cbor:"3,keyasint"`
	// Revision and Version are in force in the entry.
	Revision uint64 `cbor:"4,keyasint"`
	Version  uint64 `cbor:"5,keyasint"`
	// Drained lists VMs that get no new work from this entry and have none
	// of its requests in flight, under the epoch named.
	Drained []DrainedVM `cbor:"6,keyasint,omitempty"`
	// Usage is the use of each service since the last report.
	Usage []ServiceUsage `cbor:"7,keyasint,omitempty"`
	// Targets lists the targets of the zone whose health changed since the
	// last report, or with Full all. Kept reports hold all of them.
	Targets []TargetHealth `cbor:"8,keyasint,omitempty"`
	// RemovedTargets lists VMs that the entry no longer knows.
	RemovedTargets []string `cbor:"9,keyasint,omitempty"`
	Full           bool     `cbor:"10,keyasint,omitempty"`
	// TargetsDigest is DigestTargets of all targets.
	TargetsDigest uint64 `cbor:"11,keyasint"`
}

// DrainedVM confirms a drain.
type DrainedVM struct {
	VM    string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// ServiceUsage is the use of one service in one entry over one report interval.
type ServiceUsage struct {
	Service string `cbor:"1,keyasint"`
	// Arrived, Ran, Refused and Spilled count requests.
	Arrived uint64 `cbor:"2,keyasint"`
	Ran     uint64 `cbor:"3,keyasint"`
	Refused uint64 `cbor:"4,keyasint"`
	Spilled uint64 `cbor:"5,keyasint"`
	// BusySlots is the mean number of slots in use.
	BusySlots float64 `cbor:"6,keyasint"`
	// Queued is the number of requests that wait now.
	Queued int `cbor:"7,keyasint"`
}

// TargetHealth is what an entry knows of a target.
type TargetHealth struct {
	VM string `cbor:"1,keyasint"`
	// Live says that its lease runs; Suspected that it failed requests of late.
	Live      bool `cbor:"2,keyasint"`
	Suspected bool `cbor:"3,keyasint,omitempty"`
	Leaving   bool `cbor:"4,keyasint,omitempty"`
	// InFlight is the number of the entry's requests on the VM. It is told
	// only of VMs that are not serving, where a drain waits for it.
	InFlight int `cbor:"5,keyasint,omitempty"`
}

// DigestTargets identifies a set of targets, whatever their order.
func DigestTargets(targets []TargetHealth) uint64 {
	var digest uint64
	for _, target := range targets {
		hash := fnv.New64a()
		// Writing to a hash cannot fail.
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
