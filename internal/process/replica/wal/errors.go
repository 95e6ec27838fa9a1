package wal

import "errors"

// Errors of this package.
var (
	// ErrCorrupt is returned when a frame that had been synced is damaged.
	ErrCorrupt = errors.New("the log is damaged before its end")
	// ErrUnreadable is returned when a whole frame can't be decoded. It was synced, so that
	// it is no torn tail.
	ErrUnreadable = errors.New("a frame of the log can't be decoded")
	// ErrGap is returned when the entries are not consecutive.
	ErrGap = errors.New("the log has a gap")
	// ErrTooLarge is returned for a frame larger than MaxFrameBytes.
	ErrTooLarge = errors.New("the log frame is too large")
)
