package request

import (
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// pump gives the free slots of a pool to waiters: first those of its own
// services, then those that spill onto it.
func (s *scheduler) pump(p *pool, now time.Time) {
	for s.pumpOne(p, now) {
	}
}

// pumpOne serves one waiter; false if none can be served.
func (s *scheduler) pumpOne(p *pool, now time.Time) bool {
	first, second := fleet.Interactive, fleet.Batch
	if p.batchWaiting > 0 && p.turn >= batchTurn-1 {
		first, second = second, first
	}
	return s.serveClass(p, p.services, first, now) || s.serveClass(p, p.services, second, now) ||
		s.serveGuests(p, now)
}

// serveGuests serves a waiter of another pool if the spare pool takes guests.
func (s *scheduler) serveGuests(p *pool, now time.Time) bool {
	if len(p.guests) == 0 || !p.takesGuests() {
		return false
	}
	return s.serveClass(p, p.guests, fleet.Interactive, now) || s.serveClass(p, p.guests, fleet.Batch, now)
}

// serveClass serves the waiter with the earliest deadline among the heads
// of the queues of a class for which the pool has a free slot.
func (s *scheduler) serveClass(p *pool, services []*service, class fleet.Class, now time.Time) bool {
	if class == fleet.Batch && p.batch >= p.batchLimit() {
		return false
	}
	var best *waiter
	var chosen *worker
	for _, svc := range services {
		head := s.nextInTime(svc, now)
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

// nextInTime returns the waiter whose turn it is. Those that can no longer
// finish are refused on the way: the mean time of an answer may have become
// known, or longer, while they waited.
func (s *scheduler) nextInTime(svc *service, now time.Time) *waiter {
	for w := svc.queue.next(); w != nil; w = svc.queue.next() {
		if !now.Add(svc.mean()).After(w.deadline) {
			return w
		}
		s.refuse(w, reasonDeadline, svc.expectedWait(w.caller))
	}
	return nil
}

// refuse ends the wait of a request that has not run.
func (s *scheduler) refuse(w *waiter, why reason, wait time.Duration) {
	status := http.StatusServiceUnavailable
	if why == reasonCallerShare {
		status = http.StatusTooManyRequests
	}
	s.unqueue(w)
	w.settled <- settlement{refused: &refusal{status, why, retryAfter(wait)}}
}

func (s *scheduler) grantWaiter(p *pool, w *waiter, chosen *worker, now time.Time) {
	if w.service.interactive() {
		p.turn++
	} else {
		p.turn = 0
	}
	// The caller's part must stay in use while its waiter leaves.
	g := s.take(w.service, w.caller, chosen, now)
	s.unqueue(w)
	w.settled <- settlement{grant: g}
}
