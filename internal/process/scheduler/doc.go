// Package scheduler schedules the tasks of a hosted deployment. Server answers
// the calls of clients, workers and operators in every control process. In the
// leader, a loop tracks the workers and VMs and starts runs of waiting tasks.
//
// A run goes through three steps, in this order: its start is committed to the
// replicated log, the start order is sent to the worker, and the end that the
// worker reports is committed. Only then is the end acknowledged to the worker,
// which drops it from its reports. Therefore a new leader knows each run that may
// exist, and no end is lost.
package scheduler
