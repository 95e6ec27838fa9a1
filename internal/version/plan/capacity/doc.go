// Package capacity plans the reserve: the fewest VMs that have to be kept
// free so that every service keeps its promised slots through the losses
// that its pool tolerates.
//
// A pool of which every promising service may spill shares the reserve of
// the spare pool; the others hold their own. What neither use nor reserve
// needs is surplus, and free for batch work.
package capacity
