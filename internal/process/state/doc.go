// Package state is the replicated state of a deployment: a deterministic
// state machine that the replica drives, one command kind a function.
//
// One goroutine applies commands. After each it publishes an immutable
// Fleet value through an atomic pointer; all readers use that.
package state
