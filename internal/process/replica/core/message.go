package core

import "arbutusward.example/arbutusward/internal/process/replica"

// EntryKind is the type of a log entry.
type EntryKind uint8

// Types of log entries.
const (
	// Command is a command for the state machine.
	Command EntryKind = iota
	// NoOp is appended by a new leader to commit the entries of earlier
	// terms.
	NoOp
	// Members changes the membership.
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

// size returns the approximate encoded size of the entry in bytes.
func (e *Entry) size() int { return entryOverheadBytes + len(e.Data) }

// EntriesSize returns the approximate size in bytes of the entries in a
// message.
func EntriesSize(entries []Entry) int {
	bytes := 0
	for i := range entries {
		bytes += entries[i].size()
	}
	return bytes
}

// entryOverheadBytes is the approximate size of an entry without its
// command.
const entryOverheadBytes = 32

// Position identifies a log entry by its index and term.
type Position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// HardState is the part of the state that must be synced before any message
// that depends on it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the candidate that this process voted for in Term.
	Vote string `cbor:"2,keyasint,omitempty"`
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	// Last is the position of the last entry that the snapshot covers.
	Last    Position         `cbor:"1,keyasint"`
	Members []replica.Member `cbor:"2,keyasint"`
}

// Message is one message between members. Exactly one body is set.
type Message struct {
	From string `cbor:"1,keyasint"`
	To   string `cbor:"2,keyasint"`
	// ToDisk is the disk of To according to the sender's membership. A
	// process with the same ID and another disk must not answer.
	ToDisk string `cbor:"3,keyasint,omitempty"`
	// Term is the sender's term; in a pre-vote it is the term of the
	// election that would follow.
	Term uint64 `cbor:"4,keyasint"`
	// FromLink is the sender's link address, for receivers whose membership
	// does not list the sender yet. The core does not use it.
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

// VoteRequest asks for a vote or, with Pre, whether a vote would be granted.
type VoteRequest struct {
	Pre  bool     `cbor:"1,keyasint,omitempty"`
	Last Position `cbor:"2,keyasint"`
	// LeadershipTransfer is set if the leader asked the candidate to start
	// the election. The leader's lease does not block such a vote.
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

// AppendReply acknowledges synced entries or rejects an append because the
// logs differ.
type AppendReply struct {
	// Index is the index of the last synced entry that is known to match.
	Index uint64 `cbor:"1,keyasint,omitempty"`
	// Rejected is the index of the Previous entry that did not match, or 0.
	Rejected uint64 `cbor:"2,keyasint,omitempty"`
	// Hint is the highest index at which the logs may match.
	Hint uint64 `cbor:"3,keyasint,omitempty"`
}

// Heartbeat renews the leader's lease and carries its commit index.
type Heartbeat struct {
	Commit uint64 `cbor:"1,keyasint"`
	// Round is the number of the newest confirmation of leadership that a
	// read has requested.
	Round uint64 `cbor:"2,keyasint"`
	// SentAt is the leader's tick at which it sent the heartbeat.
	SentAt uint64 `cbor:"3,keyasint,omitempty"`
}

// HeartbeatReply answers a Heartbeat. It repeats its Round and SentAt.
type HeartbeatReply struct {
	Round  uint64 `cbor:"1,keyasint"`
	SentAt uint64 `cbor:"2,keyasint,omitempty"`
}

// TimeoutNow asks the receiver to start an election at once, without waiting
// for its election timeout.
type TimeoutNow struct{}

// Check returns ErrMalformed for a message that a correct member never
// sends. It protects the core from a peer of an incompatible build.
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

// check returns ErrMalformed if the entries are not consecutive or their
// terms are not in order.
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
