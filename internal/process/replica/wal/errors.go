package wal

import "errors"

// Errors of this package.
var (
	// ErrCorrupt says that a frame that had been synced is damaged.
	ErrCorrupt = errors.New("the log is damaged before its end")
	// ErrGap says that the entries do not follow each other.
	ErrGap = errors.New("the log has a gap")
	// ErrTooLarge says that a frame would be above MaxFrameBytes.
	ErrTooLarge = errors.New("the log frame is too large")
)
