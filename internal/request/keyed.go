package request

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/request/claim"
)

// Bounds of claims.
const (
	claimTimeout = 3 * time.Second
	// settleTimeout bounds one try to end a claim, settleTries their number.
	settleTimeout = 2 * time.Second
	settleTries   = 3
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
)

// serveKeyed runs a non-idempotent request at most once under its key.
func (h *Handler) serveKeyed(w http.ResponseWriter, r *http.Request, c *call) {
	if len(r.Header.Get(claim.KeyHeader)) > maxKeyBytes {
		h.answer(w, r, c, refusedResult(&refusal{http.StatusBadRequest, reasonLongKey, 0}, attempt{}, false))
		return
	}
	decision, refused := h.claim(r, c)
	if refused != nil {
		h.answer(w, r, c, refusedResult(refused, attempt{}, false))
		return
	}
	if decision.State != claim.Granted {
		h.answer(w, r, c, repeatResult(decision))
		return
	}
	res := h.runFor(r, c)
	h.settle(c, decision.Token, res)
	h.answer(w, r, c, res)
}

// claim asks for the right to dispatch. What would be refused anyway makes
// no claim.
func (h *Handler) claim(r *http.Request, c *call) (claim.Decision, *refusal) {
	unclaimed := &refusal{http.StatusServiceUnavailable, reasonNoClaim, minRetryAfterS}
	if h.claimer == nil {
		return claim.Decision{}, unclaimed
	}
	if refused := h.scheduler.foresee(c); refused != nil {
		return claim.Decision{}, refused
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(claimTimeout, time.Until(c.deadline)))
	defer cancel()
	// The address a request comes from may differ when it is sent again
	// through another balancer, so it does not scope the key.
	decision, err := h.claimer.Claim(ctx, claim.Request{Service: c.service.name, Caller: r.Header.Get(CallerHeader),
		Key: r.Header.Get(claim.KeyHeader), Digest: digest(c), RequestID: c.id})
	if err != nil {
		h.log.Warn("claim failed", "request", c.id, logging.Err(err))
		return claim.Decision{}, unclaimed
	}
	return decision, nil
}

// digest identifies what a request does.
func digest(c *call) [32]byte {
	sum := sha256.New()
	// A hash never fails.
	_, _ = sum.Write([]byte(c.method + "\n" + c.uri + "\n"))
	_, _ = sum.Write(c.body)
	return [32]byte(sum.Sum(nil))
}

// repeatResult is the answer to a request whose key was claimed before.
func repeatResult(decision claim.Decision) result {
	switch decision.State {
	case claim.Finished:
		recorded := decision.Answer
		return result{Result: Result{Outcome: Ran, Answer: &targetconn.Answer{Status: recorded.Status, Header: recorded.Header, Body: recorded.Body}}}
	case claim.Mismatch:
		return result{Result: Result{Outcome: NotRun, Reason: string(reasonMismatch)}, status: http.StatusUnprocessableEntity, why: reasonMismatch}
	case claim.InProgress:
		return unknownRepeat("a request with this idempotency key may still run", minRetryAfterS)
	case claim.Expired:
		return unknownRepeat("the idempotency key is older than the retention", 0)
	}
	return unknownRepeat("a request with this idempotency key may have run; its answer is lost", 0)
}

func unknownRepeat(why string, retryAfterS int) result {
	return result{Result: Result{Outcome: Unknown, Reason: why, RetryAfterS: retryAfterS}, status: http.StatusConflict}
}

// settle ends a granted claim as its run ended, whether or not the caller
// is still there.
func (h *Handler) settle(c *call, token string, res result) {
	var err error
	for range settleTries {
		if err = h.settleOnce(token, res); err == nil {
			return
		}
	}
	h.log.Error("claim not ended", "request", c.id, "outcome", res.Outcome, logging.Err(err))
}

func (h *Handler) settleOnce(token string, res result) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	switch res.Outcome {
	case NotRun:
		return h.claimer.Release(ctx, token)
	case Ran:
		return h.claimer.Finish(ctx, token, &claim.Answer{Status: res.Answer.Status, Header: res.Answer.Header, Body: res.Answer.Body})
	}
	return h.claimer.Finish(ctx, token, nil)
}
