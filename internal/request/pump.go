package request

import (
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
		head := svc.queue.next()
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

func (s *scheduler) grantWaiter(p *pool, w *waiter, chosen *worker, now time.Time) {
	if w.service.interactive() {
		p.turn++
	} else {
		p.turn = 0
	}
	// The caller's part must stay in use while its waiter leaves.
	g := s.take(w.service, w.caller, chosen, now)
	s.unqueue(w)
	w.settled <- g
}
