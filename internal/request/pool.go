package request

import (
	"math"
	"math/rand/v2"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
)

// Division of a pool's slots.
const (
	// batchShare is the largest fraction of a pool's slots that batch requests
	// may use.
	batchShare = 0.75
	// reservedShare is the fraction of the spare pool's slots that spilled
	// requests may not use.
	reservedShare = 0.25
	// batchEvery makes every batchEvery-th dispatch from the queues a batch
	// request while any waits.
	batchEvery = 8
)

// pool is the entry's state of one pool of VMs. It outlives tables. The
// scheduler's lock guards it.
type pool struct {
	name   string
	groups map[string]*group
	// services are those whose home is this pool, and spillServices those that
	// may spill onto it.
	services, spillServices []*service
	// workers counts the usable workers, and ejected the ejected ones of them.
	workers, ejected int
	probes           probeHeap
	// slots counts the slots of the workers that get work. busy counts the
	// requests in flight on the pool; of these, spilled are requests of
	// spillServices and batch are requests of class batch.
	slots, busy, spilled, batch int
	// interactiveWaiting and batchWaiting count the queued requests of the
	// services whose home is this pool.
	interactiveWaiting, batchWaiting int
	// sinceBatch counts the dispatches from the queues since the last batch
	// request.
	sinceBatch int
	// successRate is the moving average of successful requests, from 0 to 1.
	successRate float64
	// serviceTime is the moving average of the service time in seconds.
	serviceTime average
}

func newPool(name string) *pool {
	return &pool{name: name, groups: map[string]*group{}, successRate: 1}
}

// groupFor returns the group of the workers that announce the same services as
// the target.
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

// choose returns a least loaded worker with a free slot, or nil if there is none.
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

// explore returns an idle worker with recent failures for one in exploreEvery
// calls, and nil otherwise.
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

// batchLimit returns the number of batch requests that may be in flight.
func (p *pool) batchLimit() int { return max(1, int(batchShare*float64(p.slots))) }

// reserved returns the number of slots that spilled requests may not use.
func (p *pool) reserved() int { return int(math.Ceil(reservedShare * float64(p.slots))) }

// spillLimit returns the number of spilled requests that may be in flight.
func (p *pool) spillLimit() int { return p.slots - p.reserved() }

// acceptsSpill reports whether one more spilled request leaves enough free
// slots for the pool's own requests.
func (p *pool) acceptsSpill() bool {
	if p.interactiveWaiting > 0 || p.spilled >= p.spillLimit() {
		return false
	}
	return p.slots-p.busy > p.reserved()
}

// observe adds a result to the pool's success rate.
func (p *pool) observe(success bool) {
	p.successRate *= 1 - poolResultWeight
	if success {
		p.successRate += poolResultWeight
	}
}

// average is an exponential moving average. The zero value has no samples.
type average struct {
	value float64
	known bool
}

// averageWeight is the weight of the newest sample of an average.
const averageWeight = 0.1

// add adds a sample.
func (a *average) add(value float64) {
	if !a.known {
		a.value, a.known = value, true
		return
	}
	a.value += averageWeight * (value - a.value)
}

// duration returns the average of samples in seconds as a duration.
func (a *average) duration() time.Duration { return time.Duration(a.value * float64(time.Second)) }
