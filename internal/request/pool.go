package request

import (
	"math"
	"math/rand/v2"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
)

// Shares of a pool's slots.
const (
	// batchShare bounds the slots that batch requests of a pool hold.
	batchShare = 0.75
	// reservedShare of the spare pool's slots is kept free of spilled requests.
	reservedShare = 0.25
	// batchTurn gives every batchTurn-th dispatch from the queues to batch.
	batchTurn = 8
)

// pool is what the entry keeps of one pool of VMs. It outlives tables. The
// scheduler's lock guards it.
type pool struct {
	name   string
	groups map[string]*group
	// services have the pool as home; guests may spill onto it.
	services, guests []*service
	// workers counts the usable ones, ejected those of them without work.
	workers, ejected int
	probes           probeHeap
	// slots counts the slots of workers that get work, busy the requests
	// in flight on the pool, spilled those of guests, batch those of class batch.
	slots, busy, spilled, batch int
	// interactiveWaiting and batchWaiting count the home services' queues.
	interactiveWaiting, batchWaiting int
	// turn counts the dispatches from the queues since batch had one.
	turn int
	// success is the moving share of successful requests.
	success float64
	// serviceTime is the moving mean time of a request in seconds.
	serviceTime average
}

func newPool(name string) *pool {
	return &pool{name: name, groups: map[string]*group{}, success: 1}
}

// groupFor returns the group of a target's announced services.
func (p *pool) groupFor(target announce.Target) *group {
	key := signature(target)
	found := p.groups[key]
	if found == nil {
		found = &group{services: map[string]bool{}}
		for _, service := range target.Services {
			found.services[service] = true
		}
		p.groups[key] = found
	}
	return found
}

// choose returns a worker with a free slot, nil if there is none.
func (p *pool) choose(service string, avoid *worker) *worker {
	var best *worker
	for _, g := range p.groups {
		if !g.serves(service) {
			continue
		}
		w := g.choose(avoid)
		if w != nil && (best == nil || w.level < best.level) {
			best = w
		}
	}
	return best
}

// explore returns an idle worker that failed of late, now and then.
func (p *pool) explore(service string) *worker {
	if rand.IntN(exploreEvery) != 0 {
		return nil
	}
	for _, g := range p.groups {
		if w := g.explore(); w != nil && g.serves(service) {
			return w
		}
	}
	return nil
}

// batchLimit is the number of batch requests that may be in flight.
func (p *pool) batchLimit() int { return max(1, int(batchShare*float64(p.slots))) }

// reserved is the number of slots that spilled requests leave free.
func (p *pool) reserved() int { return int(math.Ceil(reservedShare * float64(p.slots))) }

// spillLimit is the number of spilled requests that may be in flight.
func (p *pool) spillLimit() int { return p.slots - p.reserved() }

// takesGuests says whether one more spilled request leaves the pool's own
// requests their share.
func (p *pool) takesGuests() bool {
	if p.interactiveWaiting > 0 || p.spilled >= p.spillLimit() {
		return false
	}
	return p.slots-p.busy > p.reserved()
}

// observe counts a result in the pool's success share.
func (p *pool) observe(success bool) {
	p.success *= 1 - poolSuccessWeight
	if success {
		p.success += poolSuccessWeight
	}
}

// average is a moving mean. The zero value knows nothing.
type average struct {
	value float64
	known bool
}

// averageWeight is the weight of the newest value of an average.
const averageWeight = 0.1

// add counts a value.
func (a *average) add(value float64) {
	if !a.known {
		a.value, a.known = value, true
		return
	}
	a.value += averageWeight * (value - a.value)
}

// seconds converts a mean in seconds.
func (a *average) duration() time.Duration { return time.Duration(a.value * float64(time.Second)) }
