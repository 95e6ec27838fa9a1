package driver

import "errors"

// Errors of this package.
var (
	// ErrTooLarge says that a command is above MaxCommandBytes.
	ErrTooLarge = errors.New("the command is too large")
	// ErrDiskReplaced says that the id is known with another disk.
	ErrDiskReplaced = errors.New("this id is known with another disk; a replaced disk needs a new id and join: true")
	// ErrMembersMismatch says that the settings of two first members differ.
	ErrMembersMismatch = errors.New("the settings of the first members name different members")
	// ErrNotInitialMember says that a process is not one of the first members.
	ErrNotInitialMember = errors.New("this process is not one of the first members")
	// ErrProcessMismatch says that another id answers at a member's address.
	ErrProcessMismatch = errors.New("another process answers at this address")
	// ErrNotJoining says that a process holds the state of a deployment
	// already, or was not started to join one.
	ErrNotJoining = errors.New("the process has not been started with join: true and an empty data folder")
	// ErrNotMember says that a message bears another name than its sender.
	ErrNotMember = errors.New("the message's sender is not the peer")
)
