// Package overload decides whether a submitted job is accepted, or refused with a time
// after which it may be submitted again. It judges a job by a snapshot of its pool: the
// room of the pool, the work that goes before the job, and the time within which the
// job is of use to its caller. It does no I/O.
//
// The decision favors accepting. A job that is refused without need costs its caller
// everything; one that is accepted without need is placed last.
package overload
