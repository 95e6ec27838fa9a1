package request

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/version/view"
)

// health is whether a worker gets work.
type health int

const (
	// healthy workers get work by load and recent success.
	healthy health = iota
	// ejected workers get none until their probe is due.
	ejected
	// probing workers run one request that decides on their return.
	probing
)

// Weights of recent results.
const (
	// successWeight is the weight of the newest result of a worker.
	successWeight = 0.2
	// penaltyLevels is how many requests in flight a worker without any
	// recent success seems to have in addition.
	penaltyLevels = 8
	// restoredSuccess is the success share that a restored worker starts with.
	restoredSuccess = 0.6
)

// worker is what the entry keeps of one VM. It outlives tables, so that
// requests in flight are counted whatever replaces the table. The
// scheduler's lock guards it.
type worker struct {
	vm, rack string
	// pool is the pool of the newest table; requests in flight may have
	// been admitted under another.
	pool  *pool
	epoch uint64
	phase view.Phase
	// slots is this entry's share of the VM.
	slots    int
	inFlight int
	// usable says that the newest table allows new work.
	usable bool
	// expired says that the lease was found ended; the next table clears it.
	expired     bool
	incarnation string
	conns       *targetconn.Pool

	// success is the moving share of successful requests.
	success float64
	health  health
	// backoff is the time to the next probe, doubled by each failed one.
	backoff time.Duration
	probeAt time.Time
	// probeIndex is the place among the workers that await a probe.
	probeIndex int

	// group is where the worker is placed while it may get work; level and
	// position are its place there.
	group    *group
	placed   bool
	level    int
	position int
	// counted is what the worker adds to its pool's slots.
	counted int
}

// available says that the worker may get a request by load.
func (w *worker) available() bool {
	return w.usable && !w.expired && w.health == healthy && w.inFlight < w.slots
}

// loadLevel orders workers: requests in flight, and a penalty for failures.
func (w *worker) loadLevel() int {
	penalty := int((1 - w.success) * penaltyLevels)
	return min(w.inFlight, maxLoad) + penalty
}

// observe counts a result in the success share.
func (w *worker) observe(success bool) {
	w.success *= 1 - successWeight
	if success {
		w.success += successWeight
	}
}
