package snapshot

import "errors"

// Errors of this package.
var (
	// ErrCorrupt is returned when a snapshot is damaged.
	ErrCorrupt = errors.New("the snapshot is damaged")
	// ErrNoSnapshot is returned when the directory contains no snapshot.
	ErrNoSnapshot = errors.New("there is no snapshot")
	// ErrOutOfOrder is returned when a chunk does not follow the previous
	// one.
	ErrOutOfOrder = errors.New("the chunk does not follow the one before")
)
