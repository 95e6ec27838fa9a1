package request

import (
	"context"
	"errors"
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

// call is one admitted request.
type call struct {
	id         string
	definition *fleet.Service
	service    *service
	method     string
	uri        string
	// header is the header that is sent to the target.
	header   http.Header
	body     []byte
	caller   string
	deadline time.Time
	// idempotent means that the request may run more than once.
	idempotent bool
	// forceNewConn disables connection reuse after a reused connection got no
	// answer, because those to other targets may be dead for the same reason.
	forceNewConn bool
}

// result is a Result with further details for the HTTP answer and the log.
type result struct {
	Result
	// status is the HTTP status of the answer.
	status        int
	refusalReason reason
	// cause is the error of the last attempt. It is logged and recorded but not
	// sent to the caller.
	cause error
}

// run makes attempts until the call has its final result. queueCtx bounds the
// waits for slots, and runCtx the runs on targets.
func (h *Handler) run(queueCtx, runCtx context.Context, c *call) result {
	var last attempt
	sent := false
	unsent := 0
	slot := slotRequest{service: c.service, caller: c.caller, deadline: c.deadline, idempotent: c.idempotent}
	for tries := 1; ; tries++ {
		g, refused := h.scheduler.acquire(queueCtx, slot)
		if refused != nil {
			return refusedResult(refused, last, sent)
		}
		last = h.runAttempt(runCtx, c, g)
		sent = sent || last.sent
		if !last.sent {
			unsent++
		}
		if !h.shouldRetry(runCtx, c, last, tries, unsent) {
			return finalResult(last, sent, runCtx.Err())
		}
		slot.avoid = h.workerToAvoid(c.service, last)
		if slot.avoid == nil && !last.reused {
			return finalResult(last, sent, runCtx.Err())
		}
		c.forceNewConn = c.forceNewConn || (last.reused && errors.Is(last.err, targetconn.ErrNoAnswer))
		h.recordRetry(c, last)
	}
}

// shouldRetry reports whether another attempt is allowed and may succeed. It
// takes a retry from the budget unless the last attempt sent nothing or was a
// probe.
func (h *Handler) shouldRetry(ctx context.Context, c *call, last attempt, tries, unsent int) bool {
	if ctx.Err() != nil || !last.retryable() || time.Until(c.deadline) <= c.service.meanServiceTime() {
		return false
	}
	if !last.sent && last.err != nil {
		return unsent < maxUnsentAttempts
	}
	if !c.idempotent || tries >= maxAttempts {
		return false
	}
	return last.probe || h.scheduler.spendRetry(c.service)
}

// workerToAvoid returns the worker of the last attempt, or nil if the service
// has no other worker.
func (h *Handler) workerToAvoid(svc *service, last attempt) *worker {
	if h.scheduler.hasOtherWorker(svc) {
		return last.worker
	}
	return nil
}

func (h *Handler) recordRetry(c *call, last attempt) {
	c.service.metrics.retries.Inc()
	h.recorder.Record(timeline.Event{Kind: timeline.RequestRetried, Request: c.id, Service: c.service.name, VM: last.worker.vm, Cause: last.cause()})
}

// refusedResult returns the result of a call that got no slot. If an earlier
// attempt got an answer or sent a byte, the result is that of the last attempt.
func refusedResult(refused *refusal, last attempt, sent bool) result {
	if last.answer != nil || sent {
		return finalResult(last, sent, nil)
	}
	return result{Result: Result{Outcome: NotRun, Reason: string(refused.reason), RetryAfterS: refused.retryAfterS},
		status: refused.status, refusalReason: refused.reason}
}

// finalResult returns the result of the last attempt. sent means that any of the
// attempts sent at least one byte, and ctxErr is the error of the run's context.
func finalResult(last attempt, sent bool, ctxErr error) result {
	vm := last.worker.vm
	if last.err == nil {
		return result{Result: Result{Outcome: Ran, Answer: last.answer, VM: vm}, status: last.answer.Status}
	}
	status := http.StatusBadGateway
	if errors.Is(ctxErr, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	if !sent {
		return result{Result: Result{Outcome: NotRun, Reason: "no target could be reached", RetryAfterS: minRetryAfterS, VM: vm},
			status: http.StatusServiceUnavailable, refusalReason: reasonUnreachable, cause: last.err}
	}
	return result{Result: Result{Outcome: Unknown, Reason: "the target gave no whole answer", VM: vm}, status: status, cause: last.err}
}
