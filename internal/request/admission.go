package request

import (
	"context"
	"time"
)

// slotRequest is a request for a slot on a worker.
type slotRequest struct {
	service  *service
	caller   string
	deadline time.Time
	// avoid is the worker of the previous attempt.
	avoid *worker
	// idempotent means that a failed attempt may be retried on another worker.
	idempotent bool
}

// acquire returns a slot, immediately or after a wait in the queue, or a
// refusal.
func (s *scheduler) acquire(ctx context.Context, r slotRequest) (*grant, *refusal) {
	g, w, refused := s.admit(r)
	if w == nil {
		return g, refused
	}
	return s.await(ctx, w)
}

// admit grants a free slot, queues the request or refuses it.
func (s *scheduler) admit(r slotRequest) (*grant, *waiter, *refusal) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	caller := r.service.queue.caller(r.caller)
	if chosen := s.chooseWorker(r, now); chosen != nil {
		return s.grantSlot(r.service, caller, chosen, now), nil, nil
	}
	if refused := s.refuseLocked(r, caller, now); refused != nil {
		r.service.queue.release(caller)
		return nil, nil, refused
	}
	s.displaceWaiter(r.service)
	w := &waiter{service: r.service, caller: caller, deadline: r.deadline, avoid: r.avoid, index: absent, result: make(chan waitResult, 1)}
	r.service.queue.push(w)
	r.service.addWaiting(1)
	return nil, w, nil
}

// predictRefusal returns the refusal that a call would get now, or nil if it
// would be granted a slot or queued.
func (s *scheduler) predictRefusal(c *call) *refusal {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := c.service
	if svc.home.slots > svc.home.busy {
		return nil
	}
	caller := svc.queue.caller(c.caller)
	defer svc.queue.release(caller)
	return s.refuseLocked(slotRequest{service: svc, deadline: c.deadline}, caller, now)
}

// hasOtherWorker reports whether the service has more than one worker.
func (s *scheduler) hasOtherWorker(svc *service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return svc.home.workers > 1 || (svc.spare != nil && svc.spare.workers > 0)
}

// chooseWorker returns a worker that can run a new request immediately, or nil.
// New requests never overtake queued ones: while a request waits, its pool has
// no free slot.
func (s *scheduler) chooseWorker(r slotRequest, now time.Time) *worker {
	svc := r.service
	if svc.queue.length > 0 && r.avoid == nil {
		return nil
	}
	if w := svc.chooseSuspected(r, now); w != nil {
		return w
	}
	if svc.hasClassCapacity() {
		if w := svc.home.choose(svc.name, r.avoid); w != nil {
			return w
		}
	}
	return svc.chooseSpare(r.avoid)
}

// hasClassCapacity reports whether the home pool may run one more request of
// the service's class.
func (s *service) hasClassCapacity() bool {
	return s.interactive() || s.home.batch < s.home.batchLimit()
}

// chooseSuspected returns a worker with recent failures for a request that can
// be retried on another one, or nil if no such worker is to be tried now.
func (s *service) chooseSuspected(r slotRequest, now time.Time) *worker {
	if !r.idempotent || r.avoid != nil || !s.hasClassCapacity() {
		return nil
	}
	if w := s.home.startProbe(s.name, now); w != nil {
		return w
	}
	return s.home.explore(s.name)
}

// chooseSpare returns a worker of the spare pool if the service may spill
// and the spare pool accepts spilled requests.
func (s *service) chooseSpare(avoid *worker) *worker {
	if s.spare == nil || !s.spare.acceptsSpill() {
		return nil
	}
	return s.spare.choose(s.name, avoid)
}
