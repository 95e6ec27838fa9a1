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
	// avoid is the worker of the attempt before.
	avoid *worker
	// index is the place among the caller's waiters, absent once out.
	index int
	// settled gets the outcome of the wait, once.
	settled chan settlement
}

// settlement ends a wait: a grant, or the reason why there is none.
type settlement struct {
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
	// index is the place among the callers that wait, absent if none does.
	index int
}

// fairQueue is the queue of one service: the caller with the fewest
// requests in flight goes first, and of one caller the request with the
// earliest deadline. The scheduler's lock guards it.
type fairQueue struct {
	callers map[string]*callerQueue
	order   callerHeap
	length  int
}

func newFairQueue() *fairQueue { return &fairQueue{callers: map[string]*callerQueue{}} }

// caller returns a caller's part, which is kept while it is in use.
func (q *fairQueue) caller(name string) *callerQueue {
	found := q.callers[name]
	if found == nil {
		found = &callerQueue{name: name, index: absent}
		q.callers[name] = found
	}
	return found
}

// release drops a caller's part that is not in use.
func (q *fairQueue) release(c *callerQueue) {
	if c.inFlight == 0 && len(c.waiting) == 0 {
		delete(q.callers, c.name)
	}
}

// started and ended count a caller's requests in flight.
func (q *fairQueue) started(c *callerQueue) { q.count(c, 1) }

func (q *fairQueue) ended(c *callerQueue) { q.count(c, -1) }

func (q *fairQueue) count(c *callerQueue, change int) {
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

// remove takes a waiter out; false if it was out already.
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

// next returns the waiter whose turn it is, nil if the queue is empty.
func (q *fairQueue) next() *waiter {
	if len(q.order) == 0 {
		return nil
	}
	return q.order[0].waiting[0]
}

// greediest returns the caller with the most waiters; the cost is bounded
// by the queue's limit.
func (q *fairQueue) greediest() *callerQueue {
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
