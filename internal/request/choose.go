package request

import (
	"math/bits"
	"math/rand/v2"
)

const (
	// maxLoad is the number of requests in flight above which workers are
	// not told apart.
	maxLoad = 16
	// levels is the number of levels of a group.
	levels = maxLoad + penaltyLevels + 1
	// exploreEvery is the number of idempotent requests of which one goes to
	// an idle worker that failed of late, so that it is soon ejected or trusted.
	exploreEvery = 16
	// samples bounds the workers looked at in one level for a retry.
	samples = 4
)

// group holds the workers of one pool that announce the same services, in
// levels of equal load. Choosing looks at levels, never at all workers, so
// its cost does not grow with their number.
type group struct {
	services map[string]bool
	levels   [levels][]*worker
	// filled has a bit for each level that is not empty.
	filled uint32
}

// serves says whether the group's workers run a service. A target that
// announces no service serves all of its pool.
func (g *group) serves(service string) bool {
	return len(g.services) == 0 || g.services[service]
}

// insert places a worker by its load.
func (g *group) insert(w *worker) {
	level := w.loadLevel()
	w.level, w.position, w.placed = level, len(g.levels[level]), true
	g.levels[level] = append(g.levels[level], w)
	g.filled |= 1 << level
}

// remove takes a worker out.
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

// choose returns a random one of the least loaded workers, nil if no
// worker is free. It avoids a VM, and if it can the VM's rack.
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

// explore returns an idle worker that is held back for failures of late,
// nil if the most held back level has none to show.
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

// sample looks at some members from a random place on for one on another
// rack; the second result is one on the same rack.
func sample(members []*worker, avoid *worker) (*worker, *worker) {
	var sameRack *worker
	start := rand.IntN(len(members))
	for i := range min(samples, len(members)) {
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
