package request

import (
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/view"
)

// scheduler gives the slots of the VMs to requests. One lock guards all of
// it, so that the check of a VM's phase and the taking of its slot are one
// step; nothing waits or does input and output under the lock.
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
	// incarnation is the run of the target that the grant is for.
	incarnation string
	spilled     bool
	// probe says that the attempt decides on an ejected worker's return.
	probe bool
	start time.Time
}

// verdict is what an attempt says of its worker.
type verdict int

const (
	// noVerdict says nothing of the worker.
	noVerdict verdict = iota
	succeeded
	failed
)

// take gives a worker's slot to a request; the lock is held.
func (s *scheduler) take(svc *service, caller *callerQueue, w *worker, now time.Time) *grant {
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
	svc.usage.busyChanged(1, now)
	s.place(w)
	return g
}

// release gives a slot back and lets waiters have it.
func (s *scheduler) release(g *grant, v verdict, answered bool) {
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
	g.service.usage.busyChanged(-1, now)
	if answered {
		g.service.answered(now.Sub(g.start))
		g.pool.serviceTime.add(now.Sub(g.start).Seconds())
	}
	s.conclude(g, v, now)
	s.place(w)
	s.pump(g.pool, now)
}

// conclude judges the worker, unless its target was replaced meanwhile.
func (s *scheduler) conclude(g *grant, v verdict, now time.Time) {
	w := g.worker
	if w.incarnation != g.incarnation {
		return
	}
	if v != noVerdict {
		s.judge(w, v == succeeded, now)
		return
	}
	if g.probe && w.health == probing {
		s.awaitProbe(w, now)
	}
}

// expire keeps a worker from work whose lease was found ended, until the
// next table.
func (s *scheduler) expire(g *grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.worker.expired = true
	s.place(g.worker)
}

// revive lets a worker have work again whose lease was renewed; false if
// it needs no further look.
func (s *scheduler) revive(w *worker, live bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !w.usable || !w.expired {
		return false
	}
	if !live {
		return true
	}
	w.expired = false
	s.place(w)
	s.pump(w.pool, time.Now())
	return false
}

// place puts a worker where its load says, or out of choice.
func (s *scheduler) place(w *worker) {
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
	w.pool.slots += counted - w.counted
	w.counted = counted
}

// record keeps an event of the time line.
func (s *scheduler) record(event timeline.Event) { s.recorder.Record(event) }

// drained says that the VM gets no new work under the epoch or a later one
// and that no request is in flight to it.
func (s *scheduler) drained(vm string, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[vm]
	return w != nil && w.epoch >= epoch && w.phase != view.Serving && w.inFlight == 0
}

// suspected says that the VM failed requests of late.
func (s *scheduler) suspected(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[vm]
	return w != nil && (w.health != healthy || w.success < ejectBelow)
}

// inFlight returns the number of requests on the VM.
func (s *scheduler) inFlight(vm string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[vm]
	if w == nil {
		return 0
	}
	return w.inFlight
}
