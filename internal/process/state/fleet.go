package state

import (
	"fmt"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

const (
	// maxTombstones is the number of removals kept for deltas. An entry whose
	// revision is older than the kept removals gets a full delta.
	maxTombstones = 4096
	// maxSubmissions is the number of accepted submissions kept to answer
	// repeated ones.
	maxSubmissions = 1024
)

// Fleet is the published part of the state. A published value is immutable.
type Fleet struct {
	// Revision is the log index of the newest change of this value.
	Revision uint64 `cbor:"1,keyasint"`
	// Version numbers the accepted documents from 1.
	Version uint64 `cbor:"2,keyasint"`
	// VersionRevision is the log index at which Version was accepted.
	VersionRevision uint64 `cbor:"3,keyasint"`
	// Text is the accepted document as submitted; Document is its parsed form.
	Text     []byte          `cbor:"4,keyasint"`
	Document *fleet.Document `cbor:"-"`
	Digest   string          `cbor:"5,keyasint"`
	// Submissions holds the newest accepted submissions, oldest first.
	Submissions []Submission                `cbor:"6,keyasint"`
	VMs         map[string]OwnedVM          `cbor:"7,keyasint"`
	Services    map[string]VersionedService `cbor:"8,keyasint"`
	Entries     map[string]RegisteredEntry  `cbor:"9,keyasint"`
	Tombstones  []Tombstone                 `cbor:"10,keyasint"`
	// TombstonesSince is the revision after which Tombstones lists all
	// removals.
	TombstonesSince uint64 `cbor:"11,keyasint"`
	// declaredVMs holds the declared VMs by name; it is derived from Document.
	declaredVMs map[string]fleet.VM
	// pools holds the declared pools by name; it is derived from Document.
	pools map[string]fleet.Pool
	// Runs holds the wave runs by ID, Moves the moves in progress by VM.
	Runs  map[string]plan.WaveRun `cbor:"12,keyasint"`
	Moves map[string]plan.Move    `cbor:"13,keyasint"`
}

// Submission is an accepted submission of a document.
type Submission struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	Base    uint64 `cbor:"2,keyasint" json:"base"`
	Digest  string `cbor:"3,keyasint" json:"digest"`
	By      string `cbor:"4,keyasint" json:"by"`
	AtMS    int64  `cbor:"5,keyasint" json:"at_ms"`
}

// OwnedVM is the ownership of a VM, with the revision of its last change.
type OwnedVM struct {
	view.VM
	Changed uint64 `cbor:"20,keyasint" json:"changed"`
	// SinceMS is when the VM joined its pool, in Unix milliseconds.
	SinceMS int64 `cbor:"21,keyasint" json:"since_ms"`
}

// VersionedService is a service, with the revision of its last change.
type VersionedService struct {
	Service fleet.Service `cbor:"1,keyasint"`
	Changed uint64        `cbor:"2,keyasint"`
}

// RegisteredEntry is a registered entry, with the revision of its last change.
type RegisteredEntry struct {
	view.Entry
	Changed uint64 `cbor:"20,keyasint" json:"changed"`
}

// ItemKind identifies the kind of a removed item.
type ItemKind uint8

// Kinds of removed items.
const (
	ItemVM ItemKind = iota + 1
	ItemService
	ItemEntry
)

// Tombstone records the removal of an item, for use in deltas.
type Tombstone struct {
	Revision uint64   `cbor:"1,keyasint"`
	Item     ItemKind `cbor:"2,keyasint"`
	Name     string   `cbor:"3,keyasint"`
}

func emptyFleet() Fleet {
	return Fleet{VMs: map[string]OwnedVM{}, Services: map[string]VersionedService{}, Entries: map[string]RegisteredEntry{},
		Runs: map[string]plan.WaveRun{}, Moves: map[string]plan.Move{}}
}

// reparse restores Document from Text.
func (f *Fleet) reparse() error {
	if f.Version == 0 {
		return nil
	}
	document, err := parseAccepted(f.Text)
	if err != nil {
		return fmt.Errorf("parse document of version %d: %w", f.Version, err)
	}
	f.setDocument(document)
	return nil
}

// setDocument stores a parsed document and indexes its VMs and pools.
func (f *Fleet) setDocument(document *fleet.Document) {
	f.Document = document
	f.declaredVMs = make(map[string]fleet.VM, len(document.VMs))
	for _, vm := range document.VMs {
		f.declaredVMs[vm.Name] = vm
	}
	f.pools = make(map[string]fleet.Pool, len(document.Pools))
	for _, pool := range document.Pools {
		f.pools[pool.Name] = pool
	}
}

// addTombstone records the removal of an item.
func (f *Fleet) addTombstone(revision uint64, item ItemKind, name string) {
	f.Revision = revision
	tombstones := append([]Tombstone{}, f.Tombstones...)
	tombstones = append(tombstones, Tombstone{Revision: revision, Item: item, Name: name})
	if excess := len(tombstones) - maxTombstones; excess > 0 {
		f.TombstonesSince = tombstones[excess-1].Revision
		tombstones = tombstones[excess:]
	}
	f.Tombstones = tombstones
}

// setVM stores a VM under a new revision.
func (f *Fleet) setVM(revision uint64, vm OwnedVM) {
	vm.Changed = revision
	f.VMs[vm.Name] = vm
	f.Revision = revision
}

// DeltaFor returns the delta that brings an entry of the zone from a revision
// to this value, or nil if the revision is not older.
func (f *Fleet) DeltaFor(zone string, from uint64) *view.Delta {
	if from >= f.Revision {
		return nil
	}
	full := from == 0 || from < f.TombstonesSince
	if full {
		from = 0
	}
	delta := &view.Delta{From: from, To: f.Revision, Full: full, Version: f.Version, SparePool: f.sparePool()}
	for _, service := range f.Services {
		if service.Changed > from {
			delta.Services = append(delta.Services, service.Service)
		}
	}
	for _, vm := range f.VMs {
		if vm.Changed > from && vm.Zone == zone {
			delta.VMs = append(delta.VMs, vm.VM)
		}
	}
	for _, entry := range f.Entries {
		if entry.Changed > from {
			delta.Entries = append(delta.Entries, entry.Entry)
		}
	}
	if !full {
		f.addRemovals(delta)
	}
	return delta
}

// addRemovals adds to the delta the removals since its start, except for items
// that exist again.
func (f *Fleet) addRemovals(delta *view.Delta) {
	for _, tombstone := range f.Tombstones {
		if tombstone.Revision <= delta.From {
			continue
		}
		switch tombstone.Item {
		case ItemVM:
			if _, again := f.VMs[tombstone.Name]; !again {
				delta.RemovedVMs = append(delta.RemovedVMs, tombstone.Name)
			}
		case ItemService:
			if _, again := f.Services[tombstone.Name]; !again {
				delta.RemovedServices = append(delta.RemovedServices, tombstone.Name)
			}
		case ItemEntry:
			if _, again := f.Entries[tombstone.Name]; !again {
				delta.RemovedEntries = append(delta.RemovedEntries, tombstone.Name)
			}
		}
	}
}

func (f *Fleet) sparePool() string {
	if f.Document == nil {
		return ""
	}
	for _, pool := range f.Document.Pools {
		if pool.Spare {
			return pool.Name
		}
	}
	return ""
}
