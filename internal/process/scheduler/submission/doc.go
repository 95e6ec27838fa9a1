// Package submission tells what a state says of a submitted job before anything is
// proposed: whether the job is known, and whether it must be refused. It does no I/O.
package submission
