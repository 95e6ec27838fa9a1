// Package timeline records the typed events of one process in a bounded
// ring, stamped by a hybrid logical clock so that the events of all
// processes merge in causal order.
package timeline

import (
	"sync"
	"time"
)

// Capacity is the number of events that a process keeps.
const Capacity = 16384

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	ProcessStarted    Kind = "process-started"
	ProcessStopping   Kind = "process-stopping"
	VersionAccepted   Kind = "version-accepted"
	VersionRefused    Kind = "version-refused"
	VersionInForce    Kind = "version-in-force"
	LeaderElected     Kind = "leader-elected"
	LeaderLost        Kind = "leader-lost"
	MemberChanged     Kind = "member-changed"
	TargetJoined      Kind = "target-joined"
	TargetLeaving     Kind = "target-leaving"
	TargetLost        Kind = "target-lost"
	TargetEjected     Kind = "target-ejected"
	TargetRestored    Kind = "target-restored"
	RequestRan        Kind = "request-ran"
	RequestRefused    Kind = "request-refused"
	RequestRetried    Kind = "request-retried"
	RequestUnknown    Kind = "request-unknown"
	RequestSpilled    Kind = "request-spilled"
	ClaimGranted      Kind = "claim-granted"
	BatchAccepted     Kind = "batch-accepted"
	BatchEnded        Kind = "batch-ended"
	MoveStarted       Kind = "move-started"
	MoveCommitted     Kind = "move-committed"
	WaveStarted       Kind = "wave-started"
	WaveHalted        Kind = "wave-halted"
	WaveEnded         Kind = "wave-ended"
	VMDraining        Kind = "vm-draining"
	VMDrained         Kind = "vm-drained"
	VMRebooting       Kind = "vm-rebooting"
	VMBack            Kind = "vm-back"
	VMLost            Kind = "vm-lost"
	JobAccepted       Kind = "job-accepted"
	JobPlaced         Kind = "job-placed"
	JobBlocked        Kind = "job-blocked"
	JobPreempted      Kind = "job-preempted"
	JobEnded          Kind = "job-ended"
	WorkerQuarantined Kind = "worker-quarantined"
	BudgetBreached    Kind = "budget-breached"
	OperatorAction    Kind = "operator-action"
)

// Stamp is a hybrid logical clock value (Kulkarni et al., "Logical
// Physical Clocks", 2014): wall time that never runs behind what the
// process has seen.
type Stamp struct {
	// WallUS is the wall time in microseconds since 1970.
	WallUS int64 `json:"wall_us" cbor:"1,keyasint"`
	// Logical orders events of equal wall time.
	Logical uint32 `json:"logical" cbor:"2,keyasint"`
}

// Before orders stamps.
func (s Stamp) Before(other Stamp) bool {
	if s.WallUS != other.WallUS {
		return s.WallUS < other.WallUS
	}
	return s.Logical < other.Logical
}

// Event is one thing that happened in one process.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Process string `json:"process"`
	Zone    string `json:"zone,omitempty"`
	// Sequence numbers the events of one process from 1.
	Sequence uint64 `json:"sequence"`
	Kind     Kind   `json:"kind"`
	// Request, VM, Service, Version, Wave and Job name what the event is
	// about, where it applies.
	Request string `json:"request,omitempty"`
	VM      string `json:"vm,omitempty"`
	Pool    string `json:"pool,omitempty"`
	Service string `json:"service,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Wave    string `json:"wave,omitempty"`
	Job     string `json:"job,omitempty"`
	Peer    string `json:"peer,omitempty"`
	// Cause says why it happened.
	Cause string `json:"cause,omitempty"`
}

// Recorder keeps the newest events of a process. It is safe for
// concurrent use.
type Recorder struct {
	process string
	zone    string

	mu       sync.Mutex
	clock    Stamp
	sequence uint64
	ring     []Event
}

// NewRecorder returns an empty recorder for a process.
func NewRecorder(process, zone string) *Recorder {
	return &Recorder{process: process, zone: zone, ring: make([]Event, 0, 256)}
}

// Record stamps and keeps an event; the oldest is dropped when full.
func (r *Recorder) Record(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	event.Stamp = r.tick()
	event.Process = r.process
	event.Zone = r.zone
	event.Sequence = r.sequence
	if len(r.ring) < Capacity {
		r.ring = append(r.ring, event)
		return
	}
	r.ring[(r.sequence-1)%Capacity] = event
}

// Now returns the next stamp, to be sent with a message.
func (r *Recorder) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Observe moves the clock past a stamp that came with a message.
func (r *Recorder) Observe(seen Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock.Before(seen) {
		r.clock = seen
	}
}

func (r *Recorder) tick() Stamp {
	wall := time.Now().UnixMicro()
	if wall > r.clock.WallUS {
		r.clock = Stamp{WallUS: wall}
	} else {
		r.clock.Logical++
	}
	return r.clock
}

// Page is a part of a process's events.
type Page struct {
	Process string `json:"process"`
	// Dropped is the number of events that the ring no longer holds.
	Dropped uint64  `json:"dropped"`
	Events  []Event `json:"events"`
}

// Since returns the kept events with a sequence above the given one, in order.
func (r *Recorder) Since(sequence uint64) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	page := Page{Process: r.process, Events: []Event{}}
	page.Dropped = r.sequence - uint64(len(r.ring))
	first := max(sequence, page.Dropped)
	for s := first + 1; s <= r.sequence; s++ {
		page.Events = append(page.Events, r.ring[(s-1)%Capacity])
	}
	return page
}
