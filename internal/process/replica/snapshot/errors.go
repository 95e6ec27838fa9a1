package snapshot

import "errors"

// Errors of this package.
var (
	// ErrCorrupt says that a snapshot is damaged.
	ErrCorrupt = errors.New("the snapshot is damaged")
	// ErrNoSnapshot says that there is no snapshot.
	ErrNoSnapshot = errors.New("there is no snapshot")
	// ErrOutOfOrder says that a chunk does not follow the one before.
	ErrOutOfOrder = errors.New("the chunk does not follow the one before")
)
