package request

import (
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/view"
)

// scheduler assigns the slots of the VMs to requests. One lock guards all of its
// state, so that checking a VM's phase and taking its slot are one atomic step.
// Nothing blocks or does I/O while it holds the lock.
type scheduler struct {
	recorder *timeline.Recorder

	mu       sync.Mutex
	workers  map[string]*worker
	pools    map[string]*pool
	services map[string]*service
}

func newScheduler(recorder *timeline.Recorder) *scheduler {
	return &scheduler{recorder: recorder, workers: map[string]*worker{}, pools: map[string]*pool{}, services: map[string]*service{}}
}

// grant is a slot held by one attempt of a request.
type grant struct {
	worker  *worker
	service *service
	caller  *callerQueue
	// pool is the pool whose slot is held.
	pool  *pool
	conns *targetconn.Pool
	// incarnation is the incarnation of the target that the grant is for.
	incarnation string
	spilled     bool
	// probe means that the attempt decides whether an ejected worker is restored.
	probe bool
	start time.Time
}

// verdict is the effect of an attempt on the health of its worker.
type verdict int

const (
	// noVerdict leaves the health of the worker unchanged.
	noVerdict verdict = iota
	succeeded
	failed
)

// grantSlot grants a slot of a worker to a request. The caller holds the lock.
func (s *scheduler) grantSlot(svc *service, caller *callerQueue, w *worker, now time.Time) *grant {
	g := &grant{worker: w, service: svc, caller: caller, pool: w.pool, conns: w.conns, incarnation: w.incarnation,
		spilled: w.pool != svc.home, probe: w.health == probing, start: now}
	w.inFlight++
	g.pool.busy++
	if g.spilled {
		g.pool.spilled++
		svc.usage.spilled++
	}
	if !svc.interactive() {
		g.pool.batch++
	}
	svc.queue.started(caller)
	svc.usage.addBusy(1, now)
	s.updatePlacement(w)
	return g
}

// release releases a slot and grants free slots of its pool to waiters. If
// measured is set, the time since the grant counts as a service time.
func (s *scheduler) release(g *grant, v verdict, measured bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	w := g.worker
	w.inFlight--
	g.pool.busy--
	if g.spilled {
		g.pool.spilled--
	}
	if !g.service.interactive() {
		g.pool.batch--
	}
	g.service.queue.ended(g.caller)
	g.service.usage.addBusy(-1, now)
	if measured {
		g.service.observeServiceTime(now.Sub(g.start))
		g.pool.serviceTime.add(now.Sub(g.start).Seconds())
	}
	s.applyVerdict(g, v, now)
	s.updatePlacement(w)
	s.dispatchWaiters(g.pool, now)
}

// applyVerdict updates the health of the worker, unless its target was replaced
// since the grant.
func (s *scheduler) applyVerdict(g *grant, v verdict, now time.Time) {
	w := g.worker
	if w.incarnation != g.incarnation {
		return
	}
	if v != noVerdict {
		s.recordResult(w, v == succeeded, now)
		return
	}
	if g.probe && w.health == probing {
		s.scheduleProbe(w, now)
	}
}

// markExpired stops new work on a worker whose lease has expired, until the next
// table or restoreIfLive.
func (s *scheduler) markExpired(g *grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.worker.expired = true
	s.updatePlacement(g.worker)
}

// restoreIfLive allows new work on an expired worker again if its lease is live.
// It returns true if the worker is still expired and must be checked again.
func (s *scheduler) restoreIfLive(w *worker, live bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !w.usable || !w.expired {
		return false
	}
	if !live {
		return true
	}
	w.expired = false
	s.updatePlacement(w)
	s.dispatchWaiters(w.pool, time.Now())
	return false
}

// updatePlacement puts a worker into the level of its load, or removes it from
// its group if it is not available, and updates the slots of its pool.
func (s *scheduler) updatePlacement(w *worker) {
	if w.placed {
		w.group.remove(w)
	}
	if w.available() {
		w.group.insert(w)
	}
	counted := 0
	if w.usable && !w.expired && w.health == healthy {
		counted = w.slots
	}
	w.pool.slots += counted - w.countedSlots
	w.countedSlots = counted
}

// recordEvent records an event in the timeline.
func (s *scheduler) recordEvent(event timeline.Event) { s.recorder.Record(event) }

// drained reports whether the VM gets no new work under the epoch or a later
// one, and no request is in flight to it.
func (s *scheduler) drained(vm string, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[vm]
	return w != nil && w.epoch >= epoch && w.phase != view.Serving && w.inFlight == 0
}

// suspected reports whether the VM has failed requests recently.
func (s *scheduler) suspected(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[vm]
	return w != nil && (w.health != healthy || w.successRate < ejectBelow)
}

// inFlight returns the number of requests in flight to the VM.
func (s *scheduler) inFlight(vm string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[vm]
	if w == nil {
		return 0
	}
	return w.inFlight
}
