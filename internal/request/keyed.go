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

// Limits of claims.
const (
	// claimTimeout bounds the time to claim an idempotency key.
	claimTimeout = 3 * time.Second
	// endClaimTimeout bounds one attempt to end a claim, and endClaimAttempts
	// the number of attempts.
	endClaimTimeout  = 2 * time.Second
	endClaimAttempts = 3
	// maxKeyBytes bounds the length of an idempotency key.
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
		h.answer(w, r, c, claimedResult(decision))
		return
	}
	res := h.runForCaller(r, c)
	h.endClaim(c, decision.Token, res)
	h.answer(w, r, c, res)
}

// claim claims the idempotency key of a request. It makes no claim for a
// request that would be refused in any case.
func (h *Handler) claim(r *http.Request, c *call) (claim.Decision, *refusal) {
	noClaim := &refusal{http.StatusServiceUnavailable, reasonNoClaim, minRetryAfterS}
	if h.claimer == nil {
		return claim.Decision{}, noClaim
	}
	if refused := h.scheduler.predictRefusal(c); refused != nil {
		return claim.Decision{}, refused
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(claimTimeout, time.Until(c.deadline)))
	defer cancel()
	// The caller's address is not part of the key's scope, because it may
	// differ when the request is sent again through another load balancer.
	decision, err := h.claimer.Claim(ctx, claim.Request{Service: c.service.name, Caller: r.Header.Get(CallerHeader),
		Key: r.Header.Get(claim.KeyHeader), Digest: digest(c), RequestID: c.id})
	if err != nil {
		h.log.Warn("idempotency key claim failed", "request", c.id, logging.Err(err))
		return claim.Decision{}, noClaim
	}
	return decision, nil
}

// digest returns a hash of the request's method, URI and body.
func digest(c *call) [32]byte {
	sum := sha256.New()
	// Writing to a hash never fails.
	_, _ = sum.Write([]byte(c.method + "\n" + c.uri + "\n"))
	_, _ = sum.Write(c.body)
	return [32]byte(sum.Sum(nil))
}

// claimedResult returns the result of a request whose key was claimed before.
func claimedResult(decision claim.Decision) result {
	switch decision.State {
	case claim.Finished:
		recorded := decision.Answer
		return result{Result: Result{Outcome: Ran, Answer: &targetconn.Answer{Status: recorded.Status, Header: recorded.Header, Body: recorded.Body}}}
	case claim.Mismatch:
		return result{Result: Result{Outcome: NotRun, Reason: string(reasonMismatch)}, status: http.StatusUnprocessableEntity, refusalReason: reasonMismatch}
	case claim.InProgress:
		return unknownResult("a request with this idempotency key may still run", minRetryAfterS)
	case claim.Expired:
		return unknownResult("the idempotency key is older than the retention", 0)
	}
	return unknownResult("a request with this idempotency key may have run; its answer is lost", 0)
}

func unknownResult(reason string, retryAfterS int) result {
	return result{Result: Result{Outcome: Unknown, Reason: reason, RetryAfterS: retryAfterS}, status: http.StatusConflict}
}

// endClaim ends a granted claim with the result of its run, even if the caller
// has disconnected.
func (h *Handler) endClaim(c *call, token string, res result) {
	var err error
	for range endClaimAttempts {
		if err = h.endClaimOnce(token, res); err == nil {
			return
		}
	}
	h.log.Error("idempotency key claim not ended", "request", c.id, "outcome", res.Outcome, logging.Err(err))
}

func (h *Handler) endClaimOnce(token string, res result) error {
	ctx, cancel := context.WithTimeout(context.Background(), endClaimTimeout)
	defer cancel()
	switch res.Outcome {
	case NotRun:
		return h.claimer.Release(ctx, token)
	case Ran:
		return h.claimer.Finish(ctx, token, &claim.Answer{Status: res.Answer.Status, Header: res.Answer.Header, Body: res.Answer.Body})
	}
	return h.claimer.Finish(ctx, token, nil)
}
