package scheduler

import "errors"

// errUnexpectedResult is returned for a committed command whose result can't be used. The
// command may have taken effect.
var errUnexpectedResult = errors.New("the result of the command can't be used")
