package core

import "errors"

// Errors of this package.
var (
	// ErrNotLeader says that only the leader can do this.
	ErrNotLeader = errors.New("not the leader")
	// ErrChangePending says that an earlier membership change is not
	// committed yet, or that this leader has not committed anything yet.
	ErrChangePending = errors.New("an earlier membership change is not finished")
	// ErrMemberExists says that the ID or link address is taken.
	ErrMemberExists = errors.New("a member with this id exists")
	// ErrNoSuchMember says that no member has the ID.
	ErrNoSuchMember = errors.New("no member has this id")
	// ErrLastVoter says that the removal would leave no voter.
	ErrLastVoter = errors.New("the last voter cannot be removed")
	// ErrMalformed says that no member sends such a message.
	ErrMalformed = errors.New("malformed replica message")
	// ErrDiskReplaced says that the members know this id with another disk.
	ErrDiskReplaced = errors.New("the members know this id with another disk; a replaced disk needs a new id and join: true")
)
