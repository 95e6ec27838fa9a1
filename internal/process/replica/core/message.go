package core

import "arbutusward.example/arbutusward/internal/process/replica"

// EntryKind is the type of a log entry.
type EntryKind uint8

// Types of log entries.
const (
	// Command is a command for the state machine.
	Command EntryKind = iota
	// NoOp is written by a new leader to commit what came before it.
	NoOp
	// Members holds a membership.
	Members
)

// Entry is one entry of the log.
type Entry struct {
	Index   uint64           `cbor:"1,keyasint"`
	Term    uint64           `cbor:"2,keyasint"`
	Kind    EntryKind        `cbor:"3,keyasint,omitempty"`
	Data    []byte           `cbor:"4,keyasint,omitempty"`
	Members []replica.Member `cbor:"5,keyasint,omitempty"`
}

// size estimates the encoded size of the entry in bytes.
func (e *Entry) size() int { return entryOverheadBytes + len(e.Data) }

// EntriesSize returns the bytes that entries take in a message.
func EntriesSize(entries []Entry) int {
	bytes := 0
	for i := range entries {
		bytes += entries[i].size()
	}
	return bytes
}

// entryOverheadBytes is the size of an entry without its command.
const entryOverheadBytes = 32

// Position names an entry.
type Position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// HardState must be synced before any message that depends on it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the candidate that got this process's vote in Term.
	Vote string `cbor:"2,keyasint,omitempty"`
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	// Last is the last entry that the snapshot covers.
	Last    Position         `cbor:"1,keyasint"`
	Members []replica.Member `cbor:"2,keyasint"`
}

// Message is one message between members. Exactly one body is set.
type Message struct {
	From string `cbor:"1,keyasint"`
	To   string `cbor:"2,keyasint"`
	// ToDisk is the disk that the sender's membership binds to To; another
	// disk under the same id must not answer.
	ToDisk string `cbor:"3,keyasint,omitempty"`
	// Term is the sender's term; with a pre-vote the term it would start.
	Term uint64 `cbor:"4,keyasint"`
	// FromLink is the sender's link address, for receivers whose membership
	// does not name the sender yet. The core leaves it alone.
	FromLink string `cbor:"5,keyasint,omitempty"`

	Vote           *VoteRequest    `cbor:"10,keyasint,omitempty"`
	VoteReply      *VoteReply      `cbor:"11,keyasint,omitempty"`
	Append         *AppendRequest  `cbor:"12,keyasint,omitempty"`
	AppendReply    *AppendReply    `cbor:"13,keyasint,omitempty"`
	Heartbeat      *Heartbeat      `cbor:"14,keyasint,omitempty"`
	HeartbeatReply *HeartbeatReply `cbor:"15,keyasint,omitempty"`
	Snapshot       *SnapshotMeta   `cbor:"16,keyasint,omitempty"`
	TimeoutNow     *TimeoutNow     `cbor:"17,keyasint,omitempty"`
}

// VoteRequest asks for a vote or, with Pre, whether one would be given.
type VoteRequest struct {
	Pre  bool     `cbor:"1,keyasint,omitempty"`
	Last Position `cbor:"2,keyasint"`
	// LeadershipTransfer says that the leader asked the candidate to take over, so
	// that the leader's lease does not stand against the vote.
	LeadershipTransfer bool `cbor:"3,keyasint,omitempty"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Pre     bool `cbor:"1,keyasint,omitempty"`
	Granted bool `cbor:"2,keyasint,omitempty"`
}

// AppendRequest carries the entries after Previous.
type AppendRequest struct {
	Previous Position `cbor:"1,keyasint"`
	Entries  []Entry  `cbor:"2,keyasint,omitempty"`
	Commit   uint64   `cbor:"3,keyasint"`
}

// AppendReply acknowledges synced entries or names where the logs differ.
type AppendReply struct {
	// Index is the last entry that is known to match and is synced.
	Index uint64 `cbor:"1,keyasint,omitempty"`
	// Rejected is the index of Previous that did not match, or 0.
	Rejected uint64 `cbor:"2,keyasint,omitempty"`
	// Hint is the last index at which the logs may match.
	Hint uint64 `cbor:"3,keyasint,omitempty"`
}

// Heartbeat keeps the leader's lease and tells the commit index.
type Heartbeat struct {
	Commit uint64 `cbor:"1,keyasint"`
	// Round numbers the confirmations of leadership for reads.
	Round uint64 `cbor:"2,keyasint"`
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Round uint64 `cbor:"1,keyasint"`
}

// TimeoutNow asks the receiver to stand for election at once.
type TimeoutNow struct{}

// Check refuses a message that no member sends: it guards the core against
// a peer of another build.
func (m *Message) Check() error {
	bodies := 0
	for _, set := range []bool{m.Vote != nil, m.VoteReply != nil, m.Append != nil, m.AppendReply != nil,
		m.Heartbeat != nil, m.HeartbeatReply != nil, m.Snapshot != nil, m.TimeoutNow != nil} {
		if set {
			bodies++
		}
	}
	if bodies != 1 || m.From == "" {
		return ErrMalformed
	}
	if m.Append != nil {
		return m.Append.check(m.Term)
	}
	return nil
}

// check refuses entries that do not follow each other.
func (r *AppendRequest) check(term uint64) error {
	previous := r.Previous
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Index != previous.Index+1 || e.Term < previous.Term || e.Term > term {
			return ErrMalformed
		}
		previous = Position{Index: e.Index, Term: e.Term}
	}
	return nil
}
