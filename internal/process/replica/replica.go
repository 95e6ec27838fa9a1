// Package replica replicates commands to a majority of the control
// processes and applies them in one order everywhere.
package replica

import (
	"context"
	"errors"
	"fmt"
)

// Errors of a replica.
var (
	// ErrStopped says that the replica is stopping.
	ErrStopped = errors.New("replica is stopped")
	// ErrUnknownResult says that a proposal may or may not be applied later.
	ErrUnknownResult = errors.New("the command may or may not have been accepted")
	// ErrNotConfirmed says that the leadership could not be confirmed in time.
	ErrNotConfirmed = errors.New("the leadership could not be confirmed")
)

// NotLeaderError says that another control process leads.
type NotLeaderError struct {
	// ID, Link and Admin name the leader; empty if none is known.
	ID, Link, Admin string
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.ID == "" {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader, which is %s", e.ID)
}

// StateMachine is what a replica drives. All calls come from one goroutine.
type StateMachine interface {
	// Apply carries out the command at a log index and returns its result.
	// It is deterministic.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state at the last applied index.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by a snapshot taken at the index.
	Restore(index uint64, snapshot []byte) error
}

// Replica is the replicated log as seen by the control process.
type Replica interface {
	// Propose returns the command's result once a majority has synced it
	// and it is applied here. Errors: *NotLeaderError, ErrStopped, and
	// ErrUnknownResult if the command may still be applied.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns once this process is confirmed as the leader and
	// has applied all that was accepted before the call.
	ReadBarrier(ctx context.Context) error
	// Status returns the replica's state at this moment.
	Status() Status
	// AddMember adds a control process as a learner, which votes once it
	// has caught up. RemoveMember takes one out. One change at a time.
	AddMember(ctx context.Context, member Member) error
	RemoveMember(ctx context.Context, id string) error
	// LeaderChanges delivers true when this process begins to lead and
	// false when it ends.
	LeaderChanges() <-chan bool
	// Stop ends the replica; a leader hands over first if it can.
	Stop() error
}

// Member is one control process in the replicated membership.
type Member struct {
	ID    string `cbor:"1,keyasint" json:"id"`
	Link  string `cbor:"2,keyasint" json:"link"`
	Admin string `cbor:"3,keyasint" json:"admin"`
	// Learner receives the log and does not vote.
	Learner bool `cbor:"4,keyasint,omitempty" json:"learner,omitempty"`
	// Disk identifies the member's data folder. A member that comes back
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
}
