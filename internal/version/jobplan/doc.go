// Package jobplan plans on which workers jobs run and which tasks are
// preempted. Planning is a pure function: it turns a snapshot of jobs, workers
// and quotas into a list of steps. The replicated state machine checks each
// step against its current state before it applies it.
package jobplan
