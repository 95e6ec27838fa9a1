package request

import (
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// dispatchWaiters grants the free slots of a pool to waiters: first to those of
// its own services, then to those that spill onto it.
func (s *scheduler) dispatchWaiters(p *pool, now time.Time) {
	for s.dispatchNext(p, now) {
	}
}

// dispatchNext grants a slot to one waiter. It returns false if no waiter can
// get a slot.
func (s *scheduler) dispatchNext(p *pool, now time.Time) bool {
	first, second := fleet.Interactive, fleet.Batch
	if p.batchWaiting > 0 && p.sinceBatch >= batchEvery-1 {
		first, second = second, first
	}
	return s.dispatchClass(p, p.services, first, now) || s.dispatchClass(p, p.services, second, now) ||
		s.dispatchSpilled(p, now)
}

// dispatchSpilled grants a slot to a waiter of another pool if this pool accepts
// spilled requests.
func (s *scheduler) dispatchSpilled(p *pool, now time.Time) bool {
	if len(p.spillServices) == 0 || !p.acceptsSpill() {
		return false
	}
	return s.dispatchClass(p, p.spillServices, fleet.Interactive, now) || s.dispatchClass(p, p.spillServices, fleet.Batch, now)
}

// dispatchClass grants a slot to the waiter with the earliest deadline among the
// heads of the queues of a class, if the pool has a free slot for it.
func (s *scheduler) dispatchClass(p *pool, services []*service, class fleet.Class, now time.Time) bool {
	if class == fleet.Batch && p.batch >= p.batchLimit() {
		return false
	}
	var best *waiter
	var chosen *worker
	for _, svc := range services {
		head := s.nextFeasible(svc, now)
		if head == nil || svc.interactive() != (class != fleet.Batch) {
			continue
		}
		if best != nil && !head.deadline.Before(best.deadline) {
			continue
		}
		if w := p.choose(svc.name, head.avoid); w != nil {
			best, chosen = head, w
		}
	}
	if best == nil {
		return false
	}
	s.grantWaiter(p, best, chosen, now)
	return true
}

// nextFeasible returns the first waiter of the queue that can still finish
// before its deadline, and refuses those before it that cannot. The mean
// service time may have become known, or have increased, while they waited.
func (s *scheduler) nextFeasible(svc *service, now time.Time) *waiter {
	for w := svc.queue.next(); w != nil; w = svc.queue.next() {
		if !now.Add(svc.meanServiceTime()).After(w.deadline) {
			return w
		}
		s.refuse(w, reasonDeadline, svc.expectedWait(w.caller))
	}
	return nil
}

// refuse removes a waiter from its queue with a refusal.
func (s *scheduler) refuse(w *waiter, why reason, wait time.Duration) {
	status := http.StatusServiceUnavailable
	if why == reasonCallerShare {
		status = http.StatusTooManyRequests
	}
	s.dequeue(w)
	w.result <- waitResult{refused: &refusal{status, why, retryAfter(wait)}}
}

func (s *scheduler) grantWaiter(p *pool, w *waiter, chosen *worker, now time.Time) {
	if w.service.interactive() {
		p.sinceBatch++
	} else {
		p.sinceBatch = 0
	}
	// The slot is granted before the waiter is dequeued, so that the caller's
	// queue stays in use and is not released.
	g := s.grantSlot(w.service, w.caller, chosen, now)
	s.dequeue(w)
	w.result <- waitResult{grant: g}
}
