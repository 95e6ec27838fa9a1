package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/jsonc"
	"arbutusward.example/arbutusward/internal/process/lifecycle"
)

// inputError is an error in the command line or in a file that it names.
type inputError struct{ err error }

func (e *inputError) Error() string { return e.err.Error() }
func (e *inputError) Unwrap() error { return e.err }

// badInput returns an inputError with a formatted message.
func badInput(format string, args ...any) error {
	return &inputError{fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for an error, so that scripts can tell the
// kinds of failure apart.
func exitCode(err error) int {
	var problems jsonc.Problems
	var input *inputError
	var refused *adminclient.StatusError
	switch {
	case err == nil:
		return lifecycle.ExitDone
	case errors.As(err, &problems), errors.As(err, &input), isMissingFlag(err):
		return lifecycle.ExitBadInput
	case noDefiniteAnswer(err):
		return lifecycle.ExitNotReachable
	case errors.As(err, &refused):
		return refusalCode(refused)
	}
	return lifecycle.ExitFailed
}

// refusalCode returns the exit code for a call that control refused.
func refusalCode(refused *adminclient.StatusError) int {
	switch {
	case refused.Status == http.StatusConflict && refused.Fault.Code == "conflict":
		return lifecycle.ExitConflict
	case refused.Status == http.StatusUnprocessableEntity, refused.Status == http.StatusBadRequest:
		return lifecycle.ExitBadInput
	}
	return lifecycle.ExitRefused
}

// noDefiniteAnswer reports whether control gave no definite answer: either it
// could not be reached, or it failed and the command may or may not have been
// accepted.
func noDefiniteAnswer(err error) bool {
	var refused *adminclient.StatusError
	if errors.As(err, &refused) && refused.Status >= http.StatusInternalServerError {
		return true
	}
	return errors.Is(err, adminclient.ErrNotReachable)
}

// isMissingFlag reports whether the error is about required flags that are
// not set. It matches the message, because the library does not export the
// error type.
func isMissingFlag(err error) bool {
	return strings.HasPrefix(err.Error(), "Required flag")
}
