package request

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/version/view"
)

// health is the outlier ejection state of a worker.
type health int

const (
	// healthy workers get work according to their load and success rate.
	healthy health = iota
	// ejected workers get no work until their probe is due.
	ejected
	// probing workers run one request that decides whether they are restored.
	probing
)

// Effect of recent results.
const (
	// resultWeight is the weight of the newest result of a worker.
	resultWeight = 0.2
	// penaltyLevels is the number of levels that are added to the load of a
	// worker whose success rate is 0.
	penaltyLevels = 8
	// restoredSuccessRate is the success rate of a worker when it is restored.
	restoredSuccessRate = 0.6
)

// worker is the entry's state of one VM. It outlives tables, so that requests
// in flight remain counted when the table is replaced. The scheduler's lock
// guards it.
type worker struct {
	vm, rack string
	// pool is the pool in the newest table. Requests in flight may have been
	// admitted when the VM belonged to another pool.
	pool  *pool
	epoch uint64
	phase view.Phase
	// slots is this entry's share of the VM's slots.
	slots    int
	inFlight int
	// usable means that the newest table allows new work.
	usable bool
	// expired means that the lease was found to have expired. The next table
	// clears it.
	expired     bool
	incarnation string
	conns       *targetconn.Pool

	// successRate is the moving average of successful requests, from 0 to 1.
	successRate float64
	health      health
	// backoff is the time until the next probe. Each failed probe doubles it.
	backoff time.Duration
	probeAt time.Time
	// probeIndex is the index in pool.probes, or absent.
	probeIndex int

	// group holds the worker while it is placed, at position in level.
	group    *group
	placed   bool
	level    int
	position int
	// countedSlots is the worker's contribution to pool.slots.
	countedSlots int
}

// available reports whether the worker is healthy and has a free slot.
func (w *worker) available() bool {
	return w.usable && !w.expired && w.health == healthy && w.inFlight < w.slots
}

// loadLevel returns the requests in flight plus a penalty for recent failures.
func (w *worker) loadLevel() int {
	penalty := int((1 - w.successRate) * penaltyLevels)
	return min(w.inFlight, maxLoad) + penalty
}

// observe adds a result to the success rate.
func (w *worker) observe(success bool) {
	w.successRate *= 1 - resultWeight
	if success {
		w.successRate += resultWeight
	}
}
