package plan

import (
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Health is the state of a VM's target as the entries of its zone report it.
type Health uint8

// Health values.
const (
	// Unknown means that the VM is suspected, that it has no recent report, or
	// that its zone's entries do not report. It is not counted as capacity.
	Unknown Health = iota
	// Up means that the target is live.
	Up
	// Down means that the zone's entries have not seen the target for longer
	// than the time after which a loss is confirmed.
	Down
)

// VM is one VM of the snapshot.
type VM struct {
	view.VM
	// Desired is the pool declared in the document, "" if there is none.
	Desired string
	// SinceMS is when the VM joined its pool, in Unix milliseconds.
	SinceMS int64
	Health  Health
	// LiveSinceMS is when the target's current uninterrupted live period
	// began, in Unix milliseconds; 0 if the target is not live.
	LiveSinceMS int64
	// Drained is true if every registered entry of the zone has confirmed
	// the drain under the VM's epoch.
	Drained bool
	// Unconfirmed names the entries that have not confirmed the drain.
	Unconfirmed []string
	Platform    PlatformStatus
}

// Counted reports whether the VM counts as capacity of its pool.
func (vm *VM) Counted() bool { return vm.Phase == view.Serving && vm.Health == Up }

// PlatformStatus is the newest status of a VM that the platform has reported.
type PlatformStatus struct {
	// Known is true if the platform has reported a status.
	Known   bool
	Running bool
	// LastOrder is the idempotency key of the newest order that the platform
	// has executed on the VM.
	LastOrder string
}

// ZoneStatus describes which entries of a zone respond.
type ZoneStatus struct {
	// Entries is the number of registered entries.
	Entries int
	// Unresponsive names the entries without a recent report.
	Unresponsive []string
}

// Responsive reports whether the zone has entries and all of them respond.
func (z ZoneStatus) Responsive() bool { return z.Entries > 0 && len(z.Unresponsive) == 0 }

// Input is an immutable snapshot of the replicated state, the observations and
// the clock.
type Input struct {
	NowMS    int64
	Document *fleet.Document
	// VMs is sorted by name.
	VMs   []VM
	Zones map[string]ZoneStatus
	Runs  []WaveRun
	Moves map[string]Move
	// BusySlots holds the observed use of each service, in slots.
	BusySlots map[string]float64
}

// Index returns the VMs by name.
func (in *Input) Index() map[string]*VM {
	index := make(map[string]*VM, len(in.VMs))
	for i := range in.VMs {
		index[in.VMs[i].Name] = &in.VMs[i]
	}
	return index
}

// Promised returns the sum of the promised slots of each pool's services.
func Promised(document *fleet.Document) map[string]int {
	promised := map[string]int{}
	if document == nil {
		return promised
	}
	for _, service := range document.Services {
		promised[service.Pool] += service.Budget.PromisedSlots
	}
	return promised
}
