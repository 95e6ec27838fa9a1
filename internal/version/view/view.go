// Package view is what an entry knows of the replicated state: the routes
// and the ownership of the VMs of its zone. A View is immutable; a Delta
// turns one into a newer one, so that the cost of a change does not grow
// with the fleet.
package view

import (
	"maps"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// Phase is the state of a VM with respect to new work.
type Phase string

// Phases of a VM. Only a serving VM gets new work.
const (
	Serving   Phase = "serving"
	Draining  Phase = "draining"
	Rebooting Phase = "rebooting"
	// Settling is the time between a reboot and being counted again.
	Settling Phase = "settling"
	// Lost is a VM that the platform reports as failed.
	Lost Phase = "lost"
	// Retired is a VM that the document no longer names and that was drained.
	Retired Phase = "retired"
)

// VM is the ownership of one VM: exactly one pool at any epoch.
type VM struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Pool string `cbor:"2,keyasint" json:"pool"`
	Zone string `cbor:"3,keyasint" json:"zone"`
	Rack string `cbor:"4,keyasint" json:"rack"`
	// Epoch rises with every change of pool or phase; confirmations and
	// orders name it and hold for it alone.
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

// View is the knowledge of one entry at one revision.
type View struct {
	// Revision is the log index of the newest change included.
	Revision uint64
	// Version is the number of the fleet document in force; 0 before the first.
	Version uint64
	// SparePool names the spare pool, "" if there is none.
	SparePool string
	Services  map[string]fleet.Service
	VMs       map[string]VM
	Entries   map[string]Entry
}

// Empty returns the view before the first change.
func Empty() *View {
	return &View{Services: map[string]fleet.Service{}, VMs: map[string]VM{}, Entries: map[string]Entry{}}
}

// Delta carries the changes from one revision to another.
type Delta struct {
	// From is the revision that the delta builds on. Full deltas build on nothing.
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	Full bool   `cbor:"3,keyasint,omitempty"`
	// Version and SparePool are those of the revision To.
	Version   uint64          `cbor:"4,keyasint"`
	SparePool string          `cbor:"5,keyasint,omitempty"`
	Services  []fleet.Service `cbor:"6,keyasint,omitempty"`
	VMs       []VM            `cbor:"7,keyasint,omitempty"`
	Entries   []Entry         `cbor:"8,keyasint,omitempty"`
	// Gone lists what was removed.
	RemovedServices []string `cbor:"9,keyasint,omitempty"`
	RemovedVMs      []string `cbor:"10,keyasint,omitempty"`
	RemovedEntries  []string `cbor:"11,keyasint,omitempty"`
}

// Apply returns the newer view, or false if the delta does not build on
// this view or is not newer: a view never goes back.
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
