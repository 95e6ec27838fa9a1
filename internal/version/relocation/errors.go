package relocation

import "errors"

// Reasons why a worker stays open.
var (
	// ErrTooFewOpen means that the pool needs its open workers for what runs in it.
	ErrTooFewOpen = errors.New("the pool needs its open workers")
	// ErrNoRoom means that a long-running task would have no place.
	ErrNoRoom = errors.New("no room for the long-running tasks")
)
