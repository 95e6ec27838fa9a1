// Package timeline records the events of a process in bounded rings. A hybrid
// logical clock stamps the events, so that those of all processes can be
// merged in causal order.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Capacity is the number of events of each class that a process keeps. Routine
// events of single requests and jobs are one class and all others are the
// notable class, so that load does not displace the events that explain an
// incident.
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
	VMSettling        Kind = "vm-settling"
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

// Stamp is the value of a hybrid logical clock (Kulkarni et al., "Logical
// Physical Clocks", 2014): a wall time that is never behind a stamp that the
// process has observed.
type Stamp struct {
	// WallUS is the wall time in microseconds since 1970.
	WallUS int64 `json:"wall_us" cbor:"1,keyasint"`
	// Logical orders events with equal wall times.
	Logical uint32 `json:"logical" cbor:"2,keyasint"`
}

// Before reports whether s is before other.
func (s Stamp) Before(other Stamp) bool {
	if s.WallUS != other.WallUS {
		return s.WallUS < other.WallUS
	}
	return s.Logical < other.Logical
}

// Event is something that happened in a process.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Process string `json:"process"`
	Zone    string `json:"zone,omitempty"`
	// Sequence numbers the events of one process from 1.
	Sequence uint64 `json:"sequence"`
	Kind     Kind   `json:"kind"`
	// Request, VM, Pool, Service, Version, Wave, Job and Peer identify what
	// the event is about. Those that do not apply are empty.
	Request string `json:"request,omitempty"`
	VM      string `json:"vm,omitempty"`
	Pool    string `json:"pool,omitempty"`
	Service string `json:"service,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Wave    string `json:"wave,omitempty"`
	Job     string `json:"job,omitempty"`
	Peer    string `json:"peer,omitempty"`
	// Cause is why the event happened.
	Cause string `json:"cause,omitempty"`
}

// routine reports whether events of the kind are frequent under load.
func (k Kind) routine() bool {
	switch k {
	case RequestRan, RequestRetried, RequestSpilled, ClaimGranted, BatchAccepted, BatchEnded, JobAccepted, JobPlaced, JobEnded:
		return true
	}
	return false
}

// Time returns the wall time of the event.
func (e Event) Time() time.Time { return time.UnixMicro(e.Stamp.WallUS) }

// droppedEvents counts the events that this process no longer holds.
var droppedEvents = metrics.GetOrCreateCounter("arbutus_timeline_dropped_events_total")

// Recorder records the events of a process and keeps the newest ones. It is
// safe for concurrent use.
type Recorder struct {
	process string
	zone    string

	mu       sync.Mutex
	clock    Stamp
	sequence uint64
	routine  ring
	notable  ring
}

// NewRecorder returns an empty recorder for a process.
func NewRecorder(process, zone string) *Recorder {
	return &Recorder{process: process, zone: zone}
}

// Record stamps and stores an event. If the ring of its class is full, the
// oldest event of the class is dropped.
func (r *Recorder) Record(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	event.Stamp = r.tick()
	event.Process = r.process
	event.Zone = r.zone
	event.Sequence = r.sequence
	class := &r.notable
	if event.Kind.routine() {
		class = &r.routine
	}
	before := class.dropped()
	class.add(event)
	droppedEvents.Add(int(class.dropped() - before))
}

// Now advances the clock and returns its stamp, to be sent with a message.
func (r *Recorder) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Observe advances the clock to at least a stamp that was received with a
// message.
func (r *Recorder) Observe(received Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock.Before(received) {
		r.clock = received
	}
}

// tick advances the clock and returns its stamp. The caller holds r.mu.
func (r *Recorder) tick() Stamp {
	wall := time.Now().UnixMicro()
	if wall > r.clock.WallUS {
		r.clock = Stamp{WallUS: wall}
	} else {
		r.clock.Logical++
	}
	return r.clock
}

// Page holds events of one process.
type Page struct {
	Process string `json:"process"`
	// Dropped is the number of events that the process no longer holds.
	Dropped uint64 `json:"dropped"`
	// DroppedNotable is the number of notable events among them.
	DroppedNotable uint64 `json:"dropped_notable"`
	// NotableLost is the stamp of the newest notable event that was dropped.
	NotableLost Stamp   `json:"notable_lost"`
	Events      []Event `json:"events"`
}

// Since returns the events with a sequence number above the given one, in
// order.
func (r *Recorder) Since(sequence uint64) Page { return r.Page(sequence, Filter{}) }

// Page returns the events with a sequence number above the given one that the
// filter selects, in order.
func (r *Recorder) Page(sequence uint64, filter Filter) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	page := Page{Process: r.process, Events: []Event{}}
	page.Dropped = r.routine.dropped() + r.notable.dropped()
	page.DroppedNotable = r.notable.dropped()
	page.NotableLost = r.notable.lost
	kept := append(r.routine.since(sequence), r.notable.since(sequence)...)
	for _, event := range kept {
		if filter.Matches(event) {
			page.Events = append(page.Events, event)
		}
	}
	slices.SortFunc(page.Events, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return page
}
