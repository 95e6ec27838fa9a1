// Package core implements the consensus of the replicated log as a pure
// state machine: leader election with pre-vote and check-quorum, log
// replication, membership changes one at a time, linearizable reads and
// leadership transfer.
//
// It does no I/O, reads no clock and starts no goroutine. Step, Tick,
// Propose and the other methods are its input; Ready is its output. The
// caller must sync what Ready lists before it sends Ready.AfterSync, which
// carries the votes and acknowledgements. The algorithm is Raft (Ongaro,
// "Consensus: Bridging Theory and Practice", 2014).
package core
