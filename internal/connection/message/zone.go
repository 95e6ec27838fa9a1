package message

import (
	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Calls between the entries of one zone.
const (
	// LeasesKind asks a zone peer for the leases it holds: LeasesPoll,
	// answered by LeasesAnswer.
	LeasesKind link.Kind = "entry.leases"
	// ViewKind asks a zone peer for its whole view: ViewRequest, answered
	// by WatchAnswer.
	ViewKind link.Kind = "entry.view"
)

// LeasesPoll asks for the changes of a peer's leases. The peer holds the
// call until there are some, for at most WaitMS.
type LeasesPoll struct {
	// Entry describes the asking entry, so that a restarted peer finds it.
	Entry view.Entry `cbor:"1,keyasint"`
	// Revision is that of the asking entry's view.
	Revision uint64 `cbor:"2,keyasint"`
	// Incarnation and Sequence are those of the peer's last answer.
	Incarnation string `cbor:"3,keyasint,omitempty"`
	Sequence    uint64 `cbor:"4,keyasint,omitempty"`
	WaitMS      int    `cbor:"5,keyasint"`
}

// LeasesAnswer carries the changes of a peer's leases and vouches for the rest.
type LeasesAnswer struct {
	Revision uint64           `cbor:"1,keyasint"`
	Changes  announce.Changes `cbor:"2,keyasint"`
}

// ViewRequest asks for a view that is newer than a revision.
type ViewRequest struct {
	Zone     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}
