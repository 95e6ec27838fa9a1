package message

import (
	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Calls between the entries of one zone.
const (
	// LeasesKind asks a zone peer for the leases that it holds. It sends a
	// LeasesPoll and returns a LeasesAnswer.
	LeasesKind link.Kind = "entry.leases"
	// ViewKind asks a zone peer for its whole view. It sends a ViewRequest and
	// returns a WatchAnswer.
	ViewKind link.Kind = "entry.view"
)

// LeasesPoll asks for the changes of a peer's leases. If there are none, the
// peer delays its answer until there are, for at most WaitMS.
type LeasesPoll struct {
	// Entry describes the calling entry, so that a restarted peer learns of it.
	Entry view.Entry `cbor:"1,keyasint"`
	// Revision is the revision of the calling entry's view.
	Revision uint64 `cbor:"2,keyasint"`
	// Incarnation and Sequence are those of the peer's last answer.
	Incarnation string `cbor:"3,keyasint,omitempty"`
	Sequence    uint64 `cbor:"4,keyasint,omitempty"`
	WaitMS      int    `cbor:"5,keyasint"`
}

// LeasesAnswer contains the changes of a peer's leases and confirms the others.
type LeasesAnswer struct {
	Revision uint64           `cbor:"1,keyasint"`
	Changes  announce.Changes `cbor:"2,keyasint"`
}

// ViewRequest asks for a view that is newer than a revision.
type ViewRequest struct {
	Zone     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}
