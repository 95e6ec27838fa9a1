// Package delegate spreads the leader's calls to workers over the control
// processes. In a small fleet the leader makes the calls itself; in a larger one it
// sends them in batches to delegates, other members of the log, which make them and
// send the answers back in batches. A call to a worker costs a few
// system calls and wake-ups, a batch costs about the same for many calls, so that
// the number of runs a second is not bounded by one process.
//
// A delegate decides nothing: it makes each call at most once and only while
// the call is fresh. It acknowledges each batch, so that the leader can tell a
// silent delegate from one whose workers are silent. A call whose delegate does
// not answer ends like a call whose worker does not answer: it may have been
// executed.
package delegate
