// Package explain tells what would happen to a call or job at this moment, and why. It
// asks the functions that decide about calls, jobs and tasks with a snapshot of what the
// leader knows. It changes nothing and does no I/O.
package explain
