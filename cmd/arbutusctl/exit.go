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

// inputError is a fault of the command line or of a file that it names.
type inputError struct{ err error }

func (e *inputError) Error() string { return e.err.Error() }
func (e *inputError) Unwrap() error { return e.err }

// badInput makes an input error.
func badInput(format string, args ...any) error {
	return &inputError{fmt.Errorf(format, args...)}
}

// exitCode maps an error to the exit codes that scripts can use.
func exitCode(err error) int {
	var problems jsonc.Problems
	var input *inputError
	var refused *adminclient.StatusError
	switch {
	case err == nil:
		return lifecycle.ExitDone
	case errors.As(err, &problems), errors.As(err, &input), missingFlags(err):
		return lifecycle.ExitBadInput
	case noAnswer(err):
		return lifecycle.ExitNotReachable
	case errors.As(err, &refused):
		return refusalCode(refused)
	}
	return lifecycle.ExitFailed
}

func refusalCode(refused *adminclient.StatusError) int {
	switch {
	case refused.Status == http.StatusConflict && refused.Fault.Code == "conflict":
		return lifecycle.ExitConflict
	case refused.Status == http.StatusUnprocessableEntity, refused.Status == http.StatusBadRequest:
		return lifecycle.ExitBadInput
	}
	return lifecycle.ExitRefused
}

// noAnswer says that control gave no definite answer: it could not be
// reached, or it failed and a command may or may not be accepted.
func noAnswer(err error) bool {
	var refused *adminclient.StatusError
	if errors.As(err, &refused) && refused.Status >= http.StatusInternalServerError {
		return true
	}
	return errors.Is(err, adminclient.ErrNotReachable)
}

// missingFlags says whether the command line lacked required flags; the
// library's error type is not exported.
func missingFlags(err error) bool {
	return strings.HasPrefix(err.Error(), "Required flag")
}
