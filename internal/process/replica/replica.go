// Package replica replicates commands to a majority of the control
// processes and applies them in one order everywhere.
package replica

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a replica.
var (
	// ErrStopped is returned when the replica is stopping or stopped.
	ErrStopped = errors.New("replica is stopped")
	// ErrUnknownResult is returned when a proposal may still be applied
	// later.
	ErrUnknownResult = errors.New("the command may or may not have been accepted")
	// ErrNotConfirmed is returned when the leadership could not be confirmed
	// in time.
	ErrNotConfirmed = errors.New("the leadership could not be confirmed")
)

// NotLeaderError is returned when another control process, or none, is the
// leader.
type NotLeaderError struct {
	// ID, Link and Admin identify the leader; they are empty if none is
	// known.
	ID, Link, Admin string
}

// Error returns a message that names the leader, if one is known.
func (e *NotLeaderError) Error() string {
	if e.ID == "" {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader, which is %s", e.ID)
}

// StateMachine is the application that a replica drives. All calls come from
// one goroutine.
type StateMachine interface {
	// Apply executes the command at a log index and returns its result. It
	// must be deterministic.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state at the last applied index.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state with a snapshot taken at the index.
	Restore(index uint64, snapshot []byte) error
}

// Replica is the replicated log as used by the control process.
type Replica interface {
	// Propose returns the command's result once a majority has synced the
	// command and it is applied here. It returns a *NotLeaderError,
	// ErrStopped, or ErrUnknownResult if the command may still be applied.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns once this process is confirmed as the leader and
	// has applied everything that was accepted before the call.
	ReadBarrier(ctx context.Context) error
	// Status returns the current state of the replica.
	Status() Status
	// TakeDelays returns the delays since the last call.
	TakeDelays() Delays
	// AddMember adds a control process as a learner, which becomes a voter
	// once it has caught up. RemoveMember removes a control process. Only one
	// change may be pending at a time.
	AddMember(ctx context.Context, member Member) error
	RemoveMember(ctx context.Context, id string) error
	// LeaderChanges delivers true when this process becomes the leader and
	// false when it loses the leadership.
	LeaderChanges() <-chan bool
	// Stop stops the replica. A leader transfers its leadership first, if it
	// can.
	Stop() error
}

// Member is one control process in the replicated membership.
type Member struct {
	ID    string `cbor:"1,keyasint" json:"id"`
	Link  string `cbor:"2,keyasint" json:"link"`
	Admin string `cbor:"3,keyasint" json:"admin"`
	// Learner is set if the member receives the log but does not vote.
	Learner bool `cbor:"4,keyasint,omitempty" json:"learner,omitempty"`
	// Disk identifies the member's data directory. A member that comes back
	// with another disk must not vote.
	Disk string `cbor:"5,keyasint,omitempty" json:"disk,omitempty"`
}

// Status describes a replica.
type Status struct {
	ID       string   `json:"id"`
	Role     string   `json:"role"`
	Term     uint64   `json:"term"`
	Leader   string   `json:"leader"`
	Commit   uint64   `json:"commit"`
	Applied  uint64   `json:"applied"`
	LogBytes int64    `json:"log_bytes"`
	Members  []Member `json:"members"`
	// Responsive holds the link addresses of the other members that have
	// answered this process lately. It is empty unless this process leads.
	Responsive []string `json:"responsive,omitempty"`
	// LeaderSilence is the time since this process last knew of a leader in
	// contact with a majority; of no use while Leader is "".
	LeaderSilence time.Duration `json:"leader_silence_ns"`
	// Unconfirmed is, on the leader, the time since it sent the newest message that
	// a majority has answered.
	Unconfirmed time.Duration `json:"unconfirmed_ns"`
}

// MaxUnconfirmed is the age of the newest message that a majority has answered
// beyond which a leader sends workers no starts and extends no leases: another process
// may lead. A leader that was suspended finds it exceeded before its replica has taken
// note of the time.
const MaxUnconfirmed = 1200 * time.Millisecond

// InContact reports whether the process leads and has heard of a majority lately, so
// that no other process can have led for long.
func (s *Status) InContact() bool {
	return s.Leader == s.ID && s.Unconfirmed <= MaxUnconfirmed
}
