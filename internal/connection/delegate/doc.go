// Package delegate spreads the leader's calls to workers over the control
// processes. The leader makes the calls to some workers itself; those to the
// others it sends in batches to delegates, other members of the log, which make
// them and send the answers back in batches. A call to a worker costs a few
// system calls and wake-ups, a batch costs about the same for many calls, so that
// the number of runs a second is not bounded by one process.
//
// A delegate decides nothing: it makes each call at most once and only while
// the call is fresh. A call whose delegate does not answer ends like a call
// whose worker does not answer: it may have been executed.
package delegate
