// Package view defines an entry's view of the replicated state: the routes,
// and the ownership of the VMs in the entry's zone. A View is immutable. A
// Delta turns a View into a newer one, so the cost of a change does not grow
// with the size of the fleet.
package view

import (
	"maps"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// Phase is the state of a VM that decides whether it gets new work.
type Phase string

// Phases of a VM. Only a serving VM gets new work.
const (
	Serving   Phase = "serving"
	Draining  Phase = "draining"
	Rebooting Phase = "rebooting"
	// Settling means that the VM has rebooted and does not count as capacity
	// yet.
	Settling Phase = "settling"
	// Lost means that the VM did not return from its reboot, or did not become
	// healthy after it, in time.
	Lost Phase = "lost"
	// Retired means that the document no longer declares the VM and that the
	// VM was drained.
	Retired Phase = "retired"
)

// VM is the ownership of one VM. At any epoch a VM belongs to exactly one
// pool.
type VM struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Pool string `cbor:"2,keyasint" json:"pool"`
	Zone string `cbor:"3,keyasint" json:"zone"`
	Rack string `cbor:"4,keyasint" json:"rack"`
	// Epoch increases with every change of pool or phase. Confirmations and
	// orders name an epoch and are valid for that epoch only.
	Epoch       uint64 `cbor:"5,keyasint" json:"epoch"`
	Phase       Phase  `cbor:"6,keyasint" json:"phase"`
	Slots       int    `cbor:"7,keyasint" json:"slots"`
	Connections int    `cbor:"8,keyasint" json:"connections"`
}

// Entry is one entry process that may dispatch to the VMs of its zone.
type Entry struct {
	ID   string `cbor:"1,keyasint" json:"id"`
	Zone string `cbor:"2,keyasint" json:"zone"`
	// Link is the entry's UDP address for other processes.
	Link string `cbor:"3,keyasint" json:"link"`
	// Admin is the entry's operator address.
	Admin string `cbor:"4,keyasint" json:"admin"`
}

// View is one entry's view of the replicated state at one revision.
type View struct {
	// Revision is the log index of the newest change that the view includes.
	Revision uint64
	// Version is the number of the fleet document in force; 0 if there is
	// none.
	Version uint64
	// SparePool names the spare pool, "" if there is none.
	SparePool string
	Services  map[string]fleet.Service
	VMs       map[string]VM
	Entries   map[string]Entry
}

// Empty returns a view of the state before the first change.
func Empty() *View {
	return &View{Services: map[string]fleet.Service{}, VMs: map[string]VM{}, Entries: map[string]Entry{}}
}

// Delta holds the changes between two revisions.
type Delta struct {
	// From is the revision to which the delta applies. A full delta applies to
	// any revision.
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	Full bool   `cbor:"3,keyasint,omitempty"`
	// Version and SparePool are the values at revision To.
	Version   uint64          `cbor:"4,keyasint"`
	SparePool string          `cbor:"5,keyasint,omitempty"`
	Services  []fleet.Service `cbor:"6,keyasint,omitempty"`
	VMs       []VM            `cbor:"7,keyasint,omitempty"`
	Entries   []Entry         `cbor:"8,keyasint,omitempty"`
	// RemovedServices, RemovedVMs and RemovedEntries list the removed items.
	RemovedServices []string `cbor:"9,keyasint,omitempty"`
	RemovedVMs      []string `cbor:"10,keyasint,omitempty"`
	RemovedEntries  []string `cbor:"11,keyasint,omitempty"`
}

// Apply returns the view after a delta. It returns v and false if the delta
// does not apply to v's revision or is not newer: the revision of a view never
// decreases.
func (v *View) Apply(d Delta) (*View, bool) {
	if d.To <= v.Revision && v.Revision != 0 {
		return v, false
	}
	if !d.Full && d.From != v.Revision {
		return v, false
	}
	next := Empty()
	if !d.Full {
		next.Services = maps.Clone(v.Services)
		next.VMs = maps.Clone(v.VMs)
		next.Entries = maps.Clone(v.Entries)
	}
	next.Revision, next.Version, next.SparePool = d.To, d.Version, d.SparePool
	for _, service := range d.Services {
		next.Services[service.Name] = service
	}
	for _, vm := range d.VMs {
		next.VMs[vm.Name] = vm
	}
	for _, entry := range d.Entries {
		next.Entries[entry.ID] = entry
	}
	deleteAll(next.Services, d.RemovedServices)
	deleteAll(next.VMs, d.RemovedVMs)
	deleteAll(next.Entries, d.RemovedEntries)
	return next, true
}

func deleteAll[T any](from map[string]T, names []string) {
	for _, name := range names {
		delete(from, name)
	}
}
