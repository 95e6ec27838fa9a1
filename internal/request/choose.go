package request

import (
	"math/bits"
	"math/rand/v2"
)

const (
	// maxLoad is the number of requests in flight from which on all workers
	// count as equally loaded.
	maxLoad = 16
	// levels is the number of load levels of a group.
	levels = maxLoad + penaltyLevels + 1
	// One in exploreEvery idempotent requests goes to an idle worker with recent
	// failures, so that it is soon either ejected or trusted again.
	exploreEvery = 16
	// maxSamples bounds the workers examined in one level for a retry.
	maxSamples = 4
)

// group holds the available workers of one pool that announce the same
// services, in levels of equal load. A choice examines levels, not all workers,
// so its cost does not grow with the number of workers.
type group struct {
	services map[string]bool
	levels   [levels][]*worker
	// filled has a bit set for each level that is not empty.
	filled uint32
}

// serves reports whether the group's workers run a service. A target that
// announces no service serves all services of its pool.
func (g *group) serves(service string) bool {
	return len(g.services) == 0 || g.services[service]
}

// insert adds a worker to the level of its load.
func (g *group) insert(w *worker) {
	level := w.loadLevel()
	w.level, w.position, w.placed = level, len(g.levels[level]), true
	g.levels[level] = append(g.levels[level], w)
	g.filled |= 1 << level
}

// remove removes a worker from its level.
func (g *group) remove(w *worker) {
	members := g.levels[w.level]
	last := members[len(members)-1]
	members[w.position] = last
	last.position = w.position
	members[len(members)-1] = nil
	g.levels[w.level] = members[:len(members)-1]
	if len(members) == 1 {
		g.filled &^= 1 << w.level
	}
	w.placed = false
}

// choose returns a random one of the least loaded workers, or nil if no worker
// is available. It never returns the worker to avoid, and prefers workers on
// another rack.
func (g *group) choose(avoid *worker) *worker {
	var sameRack *worker
	for filled := g.filled; filled != 0; filled &= filled - 1 {
		members := g.levels[bits.TrailingZeros32(filled)]
		if avoid == nil {
			return members[rand.IntN(len(members))]
		}
		found, other := sample(members, avoid)
		if found != nil {
			return found
		}
		if sameRack == nil {
			sameRack = other
		}
	}
	return sameRack
}

// explore returns a random worker of the highest level if it is idle, and so
// has that level only because of recent failures; otherwise nil.
func (g *group) explore() *worker {
	if g.filled == 0 {
		return nil
	}
	members := g.levels[bits.Len32(g.filled)-1]
	w := members[rand.IntN(len(members))]
	if w.inFlight > 0 || w.level == 0 {
		return nil
	}
	return w
}

// sample examines up to maxSamples members from a random position on. The first
// result is a worker on another rack than avoid; if there is none, the second
// result is a worker on the same rack.
func sample(members []*worker, avoid *worker) (*worker, *worker) {
	var sameRack *worker
	start := rand.IntN(len(members))
	for i := range min(maxSamples, len(members)) {
		candidate := members[(start+i)%len(members)]
		if candidate == avoid {
			continue
		}
		if candidate.rack != avoid.rack {
			return candidate, nil
		}
		sameRack = candidate
	}
	return nil, sameRack
}
