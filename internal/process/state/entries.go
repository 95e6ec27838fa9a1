package state

import "arbutusward.example/arbutusward/internal/version/view"

// EntryRemoval is the body of a RemoveEntry command.
type EntryRemoval struct {
	ID string `cbor:"1,keyasint"`
	// Attestation is the operator's statement that the entry is powered off.
	Attestation string `cbor:"2,keyasint"`
}

// applyRegisterEntry registers an entry. While a registered entry does not
// respond, moves and reboots in its zone are blocked.
func applyRegisterEntry(m *Machine, pos position, entry view.Entry) Result {
	f := &m.data.Fleet
	if known, ok := f.Entries[entry.ID]; ok {
		if known.Entry == entry {
			return okResult(entry)
		}
		if known.Zone != entry.Zone {
			return refuse(Refused, "entry %q is registered in zone %s, not %s", entry.ID, known.Zone, entry.Zone)
		}
	}
	f.Entries[entry.ID] = RegisteredEntry{Entry: entry, Changed: pos.index}
	f.Revision = pos.index
	return okResult(entry)
}

// applyRemoveEntry removes an entry that the operator attests to be powered
// off.
func applyRemoveEntry(m *Machine, pos position, removal EntryRemoval) Result {
	f := &m.data.Fleet
	if _, known := f.Entries[removal.ID]; !known {
		return refuse(NotFound, "entry %q is not registered", removal.ID)
	}
	if removal.Attestation == "" {
		return refuse(Refused, "removing an entry needs the statement that it is powered off")
	}
	delete(f.Entries, removal.ID)
	// Without an incarnation, the entry's claims and batch leases count as
	// lost.
	delete(m.data.Claims.Incarnations, removal.ID)
	f.addTombstone(pos.index, ItemEntry, removal.ID)
	return okResult(removal)
}
