// Package capacity plans the reserve: the fewest VMs to keep free so that
// every service retains its promised slots through the losses that its pool
// tolerates.
//
// A pool shares the reserve of the spare pool if all of its services with a
// promise may spill. Every other pool has its own reserve. VMs that are needed
// neither for use nor for the reserve are surplus and available to batch work.
package capacity
