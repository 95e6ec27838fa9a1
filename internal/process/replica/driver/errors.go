package driver

import "errors"

// Errors of this package.
var (
	// ErrTooLarge is returned for a command larger than MaxCommandBytes.
	ErrTooLarge = errors.New("the command is too large")
	// ErrReplacedDisk is returned at bootstrap when another member knows this
	// ID with another disk. core.ErrDiskReplaced is the same fault found from
	// a replica message.
	ErrReplacedDisk = errors.New("this id is known with another disk; a replaced disk needs a new id and join: true")
	// ErrMembersMismatch is returned when the settings of two initial
	// members list different initial members.
	ErrMembersMismatch = errors.New("the settings of the initial members name different members")
	// ErrNotInitialMember is returned when a process is not an initial
	// member.
	ErrNotInitialMember = errors.New("this process is not one of the initial members")
	// ErrProcessMismatch is returned when a process with another ID answers
	// at a member's address.
	ErrProcessMismatch = errors.New("another process answers at this address")
	// ErrNotJoining is returned when the process to be added was not started
	// to join a deployment, or already holds the state of one.
	ErrNotJoining = errors.New("the process has not been started with join: true and an empty data directory")
	// ErrSenderMismatch is returned when a message names a sender other than the
	// authenticated peer.
	ErrSenderMismatch = errors.New("the message's sender is not the peer")
)
