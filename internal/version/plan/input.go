package plan

import (
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Health is what the entries of a VM's zone say of its target.
type Health uint8

// Healths of a VM.
const (
	// Unknown says that the VM is suspected, unreported of late, or in a
	// zone that cannot be seen. It is not counted as capacity.
	Unknown Health = iota
	// Up says that the target is live.
	Up
	// Down says that the zone's entries have not seen the target for the
	// time after which a loss counts as a fact.
	Down
)

// VM is one VM of the snapshot.
type VM struct {
	view.VM
	// Desired is the pool that the document names, "" if it names none.
	Desired string
	// SinceMS is when the VM came into its pool, in Unix milliseconds.
	SinceMS int64
	Health  Health
	// LiveSinceMS is the start of the time for which the target has been
	// live without a gap, in Unix milliseconds; 0 if it is not live.
	LiveSinceMS int64
	// Drained says that every registered entry of the zone has confirmed
	// the drain under the VM's epoch.
	Drained bool
	// Unconfirmed names the entries whose confirmation is missing.
	Unconfirmed []string
	Platform    PlatformStatus
}

// Counted says whether the VM counts as capacity of its pool.
func (vm *VM) Counted() bool { return vm.Phase == view.Serving && vm.Health == Up }

// PlatformStatus is the platform's last word on a VM.
type PlatformStatus struct {
	// Known says that the platform answered.
	Known   bool
	Running bool
	// LastOrder is the idempotency key of the newest order carried out.
	LastOrder string
}

// ZoneStatus says which entries of a zone are heard.
type ZoneStatus struct {
	// Entries is the number of registered entries.
	Entries int
	// Unresponsive names the entries that were not heard of late.
	Unresponsive []string
}

// Responsive says whether all entries of the zone are heard.
func (z ZoneStatus) Responsive() bool { return z.Entries > 0 && len(z.Unresponsive) == 0 }

// Input is an immutable snapshot of state, observations and clock.
type Input struct {
	NowMS    int64
	Document *fleet.Document
	// VMs is ordered by name.
	VMs   []VM
	Zones map[string]ZoneStatus
	Runs  []WaveRun
	Moves map[string]Move
	// BusySlots is the observed use of each service in slots.
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

// Promised returns the promised slots of each pool of a document.
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
