package request

import (
	"context"
	"net/http"
	"time"
)

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
