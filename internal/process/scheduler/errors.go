package scheduler

import "errors"

var (
	// errMalformedCommand is returned for a command in the log that the members can't read.
	// It has no effect.
	errMalformedCommand = errors.New("the members of the log can't read the command")
	// errUnexpectedResult is returned for a committed command whose result can't be used. The
	// command may have taken effect.
	errUnexpectedResult = errors.New("the result of the command can't be used")
	// errUnknownWave is returned for the maintenance of a VM whose wave the state does not have.
	errUnknownWave = errors.New("the wave is not known")
)
