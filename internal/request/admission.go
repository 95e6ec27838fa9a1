package request

import (
	"context"
	"math"
	"net/http"
	"time"
)

// Bounds of the Retry-After header, in seconds.
const (
	minRetryAfterS = 1
	maxRetryAfterS = 30
)

// displaceFactor limits displacement from a full queue. A waiter is displaced
// only if its caller has more than displaceFactor times as many waiters as the
// caller of the new request would have, so that callers with about equal shares
// of the queue do not displace each other.
const displaceFactor = 2

// reason is the reason of a refusal, as the caller sees it.
type reason string

// Reasons of refusals. Their texts are also metric labels.
const (
	reasonNoDocument    reason = "no document is in force yet"
	reasonNoRoute       reason = "no service has this route"
	reasonTooLarge      reason = "the request body is too large"
	reasonMalformedBody reason = "the request body was cut or is malformed"
	reasonSlowSender    reason = "the request body took too long"
	reasonMethod        reason = "the method or an upgrade is not supported"
	reasonNoTarget      reason = "no target of the service is live"
	reasonQueueFull     reason = "the queue of the service is full"
	reasonCallerShare   reason = "the caller holds more than its share of the queue"
	reasonDeadline      reason = "the request can't finish before its deadline"
	reasonCallerGone    reason = "the caller is gone"
	reasonRemoved       reason = "the service was removed"
	reasonNoClaim       reason = "no claim of the idempotency key can be made"
	reasonUnreachable   reason = "no target could be reached"
	reasonMismatch      reason = "the idempotency key was used with other content"
	reasonLongKey       reason = "the idempotency key is too long"
	reasonBodyMemory    reason = "too many request bodies are being received"
)

// refusal is the reason why a request gets no slot, with the HTTP status and
// the Retry-After seconds of the answer.
type refusal struct {
	status      int
	reason      reason
	retryAfterS int
}

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

// refuseLocked returns a refusal if the request may not be queued.
func (s *scheduler) refuseLocked(r slotRequest, caller *callerQueue, now time.Time) *refusal {
	svc := r.service
	if svc.capacity() == 0 {
		return &refusal{http.StatusServiceUnavailable, reasonNoTarget, minRetryAfterS}
	}
	wait := svc.expectedWait(caller)
	if now.Add(wait + svc.meanServiceTime()).After(r.deadline) {
		return &refusal{http.StatusServiceUnavailable, reasonDeadline, retryAfter(wait)}
	}
	if svc.queue.length < svc.queueLimit {
		return nil
	}
	return svc.queueFullRefusal(caller, wait)
}

// queueFullRefusal returns the refusal of a request for a full queue, or nil
// if a waiter of the caller with the most waiters is to be displaced for it.
func (s *service) queueFullRefusal(caller *callerQueue, wait time.Duration) *refusal {
	largest := s.queue.mostQueued()
	if largest == nil || len(largest.waiting) <= displaceFactor*(len(caller.waiting)+1) {
		return &refusal{http.StatusServiceUnavailable, reasonQueueFull, retryAfter(wait)}
	}
	return nil
}

// displaceWaiter refuses the waiter with the latest deadline of the caller with
// the most waiters if the queue is full.
func (s *scheduler) displaceWaiter(svc *service) {
	if svc.queue.length < svc.queueLimit {
		return
	}
	displaced := svc.queue.mostQueued().latest()
	s.refuse(displaced, reasonCallerShare, 0)
}

// capacity returns the number of slots that the service can use.
func (s *service) capacity() int {
	capacity := s.home.slots
	if s.spare != nil {
		capacity += s.spare.spillLimit()
	}
	return capacity
}

// expectedWait estimates how long a new request waits for a slot: the number
// of requests ahead of it, divided by the rate at which slots are released.
// Because the queue is fair to callers, only as many requests of each other
// caller are ahead of it as its own caller has in the queue.
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

// retryAfter converts an expected wait to the seconds of a Retry-After header.
func retryAfter(wait time.Duration) int {
	return min(maxRetryAfterS, max(minRetryAfterS, int(math.Ceil(wait.Seconds()))))
}

// await waits for a slot until the request could no longer finish before its
// deadline or its caller has disconnected. The lock ensures that a waiter gets
// either a grant or a refusal, never both.
func (s *scheduler) await(ctx context.Context, w *waiter) (*grant, *refusal) {
	timer := time.NewTimer(time.Until(w.latestStart()))
	defer timer.Stop()
	refused := refusal{http.StatusServiceUnavailable, reasonDeadline, minRetryAfterS}
	select {
	case r := <-w.result:
		return r.grant, r.refused
	case <-timer.C:
	case <-ctx.Done():
		refused.reason = reasonCallerGone
	}
	if s.cancelWait(w) {
		return nil, &refused
	}
	r := <-w.result
	if r.refused != nil {
		return nil, r.refused
	}
	s.release(r.grant, noVerdict, false)
	return nil, &refused
}

// latestStart returns the time after which the request is not expected to
// finish before its deadline.
func (w *waiter) latestStart() time.Time {
	left := time.Until(w.deadline)
	return w.deadline.Add(-min(w.service.meanServiceTime(), left/2))
}

// cancelWait removes a waiter from its queue. It returns false if the waiter
// already has its result.
func (s *scheduler) cancelWait(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index == absent {
		return false
	}
	s.dequeue(w)
	return true
}

// dequeue removes a waiter from its queue.
func (s *scheduler) dequeue(w *waiter) {
	if w.service.queue.remove(w) {
		w.service.addWaiting(-1)
	}
}
