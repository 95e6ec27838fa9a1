package request

import (
	"context"
	"math"
	"net/http"
	"time"
)

// Bounds of the advice when to come back, in seconds.
const (
	minRetryAfterS = 1
	maxRetryAfterS = 30
)

// displaceFactor is how many times a caller's share of a full queue another
// one must hold to make room for it; callers of about equal shares do not
// displace each other.
const displaceFactor = 2

// reason is why a request is refused, as told to the caller.
type reason string

// Reasons of refusals; metric labels follow their names.
const (
	reasonNoDocument  reason = "no document is in force yet"
	reasonNoRoute     reason = "no service has this route"
	reasonTooLarge    reason = "the request body is too large"
	reasonCut         reason = "the request body was cut or is malformed"
	reasonSlowSender  reason = "the request body took too long"
	reasonMethod      reason = "the method or an upgrade is not supported"
	reasonNoTarget    reason = "no target of the service is live"
	reasonQueueFull   reason = "the queue of the service is full"
	reasonCallerShare reason = "the caller holds more than its share of the queue"
	reasonDeadline    reason = "the request can't finish before its deadline"
	reasonGone        reason = "the caller is gone"
	reasonRemoved     reason = "the service was removed"
	reasonNoClaim     reason = "no claim of the idempotency key can be made"
	reasonUnreached   reason = "no target could be reached"
	reasonMismatch    reason = "the idempotency key was used with other content"
	reasonLongKey     reason = "the idempotency key is too long"
	reasonBodyMemory  reason = "too many request bodies are being received"
)

// refusal says why a request gets no slot, and when to come back.
type refusal struct {
	status      int
	reason      reason
	retryAfterS int
}

// ticket asks for a slot.
type ticket struct {
	service  *service
	caller   string
	deadline time.Time
	// avoid is the worker of the attempt before.
	avoid *worker
	// repeatable says that a failure may be repeated elsewhere.
	repeatable bool
}

// acquire returns a slot, at once or after a wait in the queue, or the
// reason why there is none.
func (s *scheduler) acquire(ctx context.Context, t ticket) (*grant, *refusal) {
	g, w, refused := s.admit(t)
	if w == nil {
		return g, refused
	}
	return s.await(ctx, w)
}

// admit grants a free slot, queues the request or refuses it.
func (s *scheduler) admit(t ticket) (*grant, *waiter, *refusal) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	caller := t.service.queue.caller(t.caller)
	if chosen := s.chooseFor(t, now); chosen != nil {
		return s.take(t.service, caller, chosen, now), nil, nil
	}
	if refused := s.refuseLocked(t, caller, now); refused != nil {
		t.service.queue.release(caller)
		return nil, nil, refused
	}
	s.makeRoom(t.service)
	w := &waiter{service: t.service, caller: caller, deadline: t.deadline, avoid: t.avoid, index: absent, settled: make(chan settlement, 1)}
	t.service.queue.push(w)
	t.service.waitingChanged(1)
	return nil, w, nil
}

// foresee returns why a call would be refused now, nil if it would not.
func (s *scheduler) foresee(c *call) *refusal {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := c.service
	if svc.home.slots > svc.home.busy {
		return nil
	}
	caller := svc.queue.caller(c.caller)
	defer svc.queue.release(caller)
	return s.refuseLocked(ticket{service: svc, deadline: c.deadline}, caller, now)
}

// hasOther says whether the service has more than one worker.
func (s *scheduler) hasOther(svc *service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return svc.home.workers > 1 || (svc.spare != nil && svc.spare.workers > 0)
}

// chooseFor returns a worker that can run a new request at once. Requests
// that wait are never overtaken: while any does, its pool has no free slot.
func (s *scheduler) chooseFor(t ticket, now time.Time) *worker {
	svc := t.service
	if svc.queue.length > 0 && t.avoid == nil {
		return nil
	}
	if w := svc.chooseDoubtful(t, now); w != nil {
		return w
	}
	if svc.classFits() {
		if w := svc.home.choose(svc.name, t.avoid); w != nil {
			return w
		}
	}
	return svc.chooseSpare(t.avoid)
}

// classFits says that the home pool has room for the service's class.
func (s *service) classFits() bool {
	return s.interactive() || s.home.batch < s.home.batchLimit()
}

// chooseDoubtful returns a worker that failed of late for a request that
// can be repeated elsewhere, nil if none is to be tried now.
func (s *service) chooseDoubtful(t ticket, now time.Time) *worker {
	if !t.repeatable || t.avoid != nil || !s.classFits() {
		return nil
	}
	if w := s.home.takeProbe(s.name, now); w != nil {
		return w
	}
	return s.home.explore(s.name)
}

// chooseSpare returns a worker of the spare pool if the service may spill
// and the spare pool takes guests.
func (s *service) chooseSpare(avoid *worker) *worker {
	if s.spare == nil || !s.spare.takesGuests() {
		return nil
	}
	return s.spare.choose(s.name, avoid)
}

// refuseLocked returns why a request may not wait, nil if it may.
func (s *scheduler) refuseLocked(t ticket, caller *callerQueue, now time.Time) *refusal {
	svc := t.service
	if svc.capacity() == 0 {
		return &refusal{http.StatusServiceUnavailable, reasonNoTarget, minRetryAfterS}
	}
	wait := svc.expectedWait(caller)
	if now.Add(wait + svc.mean()).After(t.deadline) {
		return &refusal{http.StatusServiceUnavailable, reasonDeadline, retryAfter(wait)}
	}
	if svc.queue.length < svc.queueLimit {
		return nil
	}
	return svc.fullFor(caller, wait)
}

// fullFor returns the refusal of a caller for which a full queue has no
// room, nil if the caller with the most waiters must make room for it.
func (s *service) fullFor(caller *callerQueue, wait time.Duration) *refusal {
	greediest := s.queue.greediest()
	if greediest == nil || len(greediest.waiting) <= displaceFactor*(len(caller.waiting)+1) {
		return &refusal{http.StatusServiceUnavailable, reasonQueueFull, retryAfter(wait)}
	}
	return nil
}

// makeRoom gives the last waiter of the caller with the most its final
// answer if the queue is full.
func (s *scheduler) makeRoom(svc *service) {
	if svc.queue.length < svc.queueLimit {
		return
	}
	victim := svc.queue.greediest().latest()
	s.refuse(victim, reasonCallerShare, 0)
}

// capacity is the number of slots that the service can use.
func (s *service) capacity() int {
	capacity := s.home.slots
	if s.spare != nil {
		capacity += s.spare.spillLimit()
	}
	return capacity
}

// expectedWait estimates how long a new request waits for a slot: the
// requests ahead of it at the rate at which the slots fall free. Under the
// fair order only a caller's own share of the queue is ahead of it.
func (s *service) expectedWait(caller *callerQueue) time.Duration {
	callers := len(s.queue.order)
	if len(caller.waiting) == 0 {
		callers++
	}
	ahead := min(s.queue.length, (len(caller.waiting)+1)*callers)
	if s.interactive() {
		ahead += s.home.interactiveWaiting - s.queue.length
	} else {
		ahead += s.home.interactiveWaiting + s.home.batchWaiting - s.queue.length
	}
	mean := s.home.serviceTime.duration()
	return time.Duration(ahead+1) * mean / time.Duration(max(1, s.capacity()))
}

// retryAfter returns when to come back after the wait, in seconds.
func retryAfter(wait time.Duration) int {
	return min(maxRetryAfterS, max(minRetryAfterS, int(math.Ceil(wait.Seconds()))))
}

// await waits for a slot until the request could no longer finish in time
// or its caller is gone. Exactly one of grant and refusal wins, under the lock.
func (s *scheduler) await(ctx context.Context, w *waiter) (*grant, *refusal) {
	timer := time.NewTimer(time.Until(w.latestStart()))
	defer timer.Stop()
	refused := refusal{http.StatusServiceUnavailable, reasonDeadline, minRetryAfterS}
	select {
	case result := <-w.settled:
		return result.grant, result.refused
	case <-timer.C:
	case <-ctx.Done():
		refused.reason = reasonGone
	}
	if s.leave(w) {
		return nil, &refused
	}
	result := <-w.settled
	if result.refused != nil {
		return nil, result.refused
	}
	s.release(result.grant, noVerdict, false)
	return nil, &refused
}

// latestStart is the time after which the request would not finish before
// its deadline.
func (w *waiter) latestStart() time.Time {
	left := time.Until(w.deadline)
	return w.deadline.Add(-min(w.service.mean(), left/2))
}

// leave takes a waiter out; false if it was settled before.
func (s *scheduler) leave(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index == absent {
		return false
	}
	s.unqueue(w)
	return true
}

// unqueue takes a waiter out of its queue.
func (s *scheduler) unqueue(w *waiter) {
	if w.service.queue.remove(w) {
		w.service.waitingChanged(-1)
	}
}
