// Package driver runs the consensus core of one process. It implements
// replica.Replica.
//
// One goroutine, the loop, owns the core and the state machine. A second
// goroutine owns the disk: it syncs the changes that the loop passes to it,
// many of them in one sync, and returns the messages that had to wait for
// the sync. Messages to other members are sent on separate goroutines, in no
// fixed order; the core tolerates loss and reordering.
package driver
