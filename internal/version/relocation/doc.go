// Package relocation decides which workers of a pool may close for new tasks, so
// that their VMs can be maintained or moved: those whose long-running tasks find a
// place on workers that stay open, while the pool keeps enough workers open for what
// runs in it. It computes a plan from a snapshot and does no I/O.
package relocation
