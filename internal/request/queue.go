package request

import (
	"container/heap"
	"time"
)

// waiter is one request that waits for a slot.
type waiter struct {
	service  *service
	caller   *callerQueue
	deadline time.Time
	// avoid is the worker of the previous attempt.
	avoid *worker
	// index is the index in the caller's heap of waiters, or absent after removal.
	index int
	// result receives the result of the wait, once.
	result chan waitResult
}

// waitResult is the result of a wait: either a grant or a refusal.
type waitResult struct {
	grant   *grant
	refused *refusal
}

// callerQueue is one caller's part of a service's queue.
type callerQueue struct {
	name string
	// waiting is ordered by deadline.
	waiting waiterHeap
	// inFlight counts the caller's requests on targets.
	inFlight int
	// index is the index in fairQueue.order, or absent if the caller has no
	// waiters.
	index int
}

// fairQueue is the queue of one service. The caller with the fewest requests in
// flight goes first, and among the requests of one caller the one with the
// earliest deadline. The scheduler's lock guards it.
type fairQueue struct {
	callers map[string]*callerQueue
	order   callerHeap
	length  int
}

func newFairQueue() *fairQueue { return &fairQueue{callers: map[string]*callerQueue{}} }

// caller returns the queue of a caller and creates it if necessary. It is kept
// while the caller has requests queued or in flight.
func (q *fairQueue) caller(name string) *callerQueue {
	found := q.callers[name]
	if found == nil {
		found = &callerQueue{name: name, index: absent}
		q.callers[name] = found
	}
	return found
}

// release removes the queue of a caller without requests.
func (q *fairQueue) release(c *callerQueue) {
	if c.inFlight == 0 && len(c.waiting) == 0 {
		delete(q.callers, c.name)
	}
}

// started counts one more request of a caller in flight.
func (q *fairQueue) started(c *callerQueue) { q.addInFlight(c, 1) }

// ended counts one less request of a caller in flight.
func (q *fairQueue) ended(c *callerQueue) { q.addInFlight(c, -1) }

func (q *fairQueue) addInFlight(c *callerQueue, change int) {
	c.inFlight += change
	if c.index != absent {
		heap.Fix(&q.order, c.index)
	}
	q.release(c)
}

// push adds a waiter.
func (q *fairQueue) push(w *waiter) {
	heap.Push(&w.caller.waiting, w)
	q.length++
	if w.caller.index == absent {
		heap.Push(&q.order, w.caller)
		return
	}
	heap.Fix(&q.order, w.caller.index)
}

// remove removes a waiter. It returns false if the waiter was removed before.
func (q *fairQueue) remove(w *waiter) bool {
	if w.index == absent {
		return false
	}
	c := w.caller
	heap.Remove(&c.waiting, w.index)
	q.length--
	if len(c.waiting) == 0 {
		heap.Remove(&q.order, c.index)
		q.release(c)
		return true
	}
	heap.Fix(&q.order, c.index)
	return true
}

// next returns the first waiter in the queue's order, or nil if the queue is
// empty.
func (q *fairQueue) next() *waiter {
	if len(q.order) == 0 {
		return nil
	}
	return q.order[0].waiting[0]
}

// mostQueued returns the caller with the most waiters, or nil if there is none.
// Its cost is bounded by the queue's limit.
func (q *fairQueue) mostQueued() *callerQueue {
	var found *callerQueue
	for _, c := range q.order {
		if found == nil || len(c.waiting) > len(found.waiting) {
			found = c
		}
	}
	return found
}

// latest returns the waiter of the caller with the latest deadline.
func (c *callerQueue) latest() *waiter {
	found := c.waiting[0]
	for _, w := range c.waiting {
		if w.deadline.After(found.deadline) {
			found = w
		}
	}
	return found
}
