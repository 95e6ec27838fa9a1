// Package scheduler runs a hosted deployment. Server answers the calls of
// clients, workers and operators in every control process; in the leader, a
// loop owns what is known of workers and turns waiting tasks into runs.
//
// A run goes through three steps, in this order. Its start is committed to
// the replicated log. The order leaves for the worker. The worker's report
// of its end is committed, and only then is the worker told to forget it.
// So a new leader knows each run that may exist, and no end is lost.
package scheduler
