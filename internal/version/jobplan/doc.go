// Package jobplan decides where jobs run. It is pure: a snapshot of jobs,
// workers and quotas goes in, a list of steps comes out, and the state
// machine checks each step against newer state before it applies it.
package jobplan
