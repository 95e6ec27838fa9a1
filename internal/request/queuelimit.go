package request

import (
	"math"
	"net/http"
	"time"
)

// displaceFactor limits displacement from a full queue. A waiter is displaced
// only if its caller has more than displaceFactor times as many waiters as the
// caller of the new request would have, so that callers with about equal shares
// of the queue do not displace each other.
const displaceFactor = 2

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

// Bounds of the Retry-After header, in seconds.
const (
	minRetryAfterS = 1
	maxRetryAfterS = 30
)

// retryAfter converts an expected wait to the seconds of a Retry-After header.
func retryAfter(wait time.Duration) int {
	return min(maxRetryAfterS, max(minRetryAfterS, int(math.Ceil(wait.Seconds()))))
}
