// Package driver runs the consensus core of one process: it implements
// replica.Replica.
//
// One goroutine, the loop, owns the core and the state machine. A second
// one owns the disk: it syncs what the loop hands it, many changes in one
// sync, and returns the messages that had to wait for that. Messages to
// other members go out on goroutines of their own, in no fixed order; the
// core allows for loss and reordering.
package driver
