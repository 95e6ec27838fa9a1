package core

import "errors"

// Errors of this package.
var (
	// ErrNotLeader is returned when the operation needs the leader.
	ErrNotLeader = errors.New("not the leader")
	// ErrChangePending is returned when an earlier membership change is not
	// committed yet, or when this leader has not committed any entry yet.
	ErrChangePending = errors.New("an earlier membership change is not finished")
	// ErrMemberExists is returned when another member has the ID or the
	// link address.
	ErrMemberExists = errors.New("a member with this id exists")
	// ErrNoSuchMember is returned when no member has the ID.
	ErrNoSuchMember = errors.New("no member has this id")
	// ErrLastVoter is returned when a removal would leave no voter.
	ErrLastVoter = errors.New("the last voter cannot be removed")
	// ErrMalformed is returned for a message that a correct member of this
	// version never sends.
	ErrMalformed = errors.New("malformed replica message")
	// ErrDiskReplaced is returned when the other members know this ID with
	// another disk.
	ErrDiskReplaced = errors.New("the members know this id with another disk; a replaced disk needs a new id and join: true")
)
