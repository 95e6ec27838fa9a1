// Package state implements the replicated state of a deployment, except for a
// deployment on a hosted platform, whose state is in package workstate. It is a
// deterministic state machine that the replica drives; each kind of command is
// applied by one function.
//
// A single goroutine applies the commands. After a command has changed the
// fleet, it publishes an immutable Fleet value through an atomic pointer, from
// which readers of the fleet read. Jobs, claims and batch requests are read
// under a lock.
package state
