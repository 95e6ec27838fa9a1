package request

import (
	"context"
	"errors"
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

// Bounds of one attempt.
const (
	// maxSilence bounds the time without progress on a connection that was
	// used before, so that a silent one is found within it.
	maxSilence = 3 * time.Second
	// silenceFactor is how many mean service times an answer may take.
	silenceFactor = 4
	// onceMaxIdle bounds the idle age of a connection for work that runs at
	// most once: a connection found dead after the write would leave its
	// outcome unknown.
	onceMaxIdle = 200 * time.Millisecond
	// leaseLookInterval is the time between looks at an ended lease.
	leaseLookInterval = 200 * time.Millisecond
)

// call is one admitted request.
type call struct {
	id         string
	definition *fleet.Service
	service    *service
	method     string
	uri        string
	// header is the outgoing one.
	header   http.Header
	body     []byte
	caller   string
	deadline time.Time
	// repeatable says that the request is idempotent.
	repeatable bool
	// fresh asks for new connections, after a used one brought no answer:
	// those of other targets may have gone silent with it.
	fresh bool
}

// result is a Result with what the HTTP answer needs besides.
type result struct {
	Result
	// status is the HTTP status of the system's own answer.
	status int
	why    reason
	// cause is the error of the last attempt, for operators alone.
	cause error
}

// attempt is one try at one worker.
type attempt struct {
	worker *worker
	probe  bool
	answer *targetconn.Answer
	sent   bool
	reused bool
	err    error
}

// run serves a call until it has its final result. The first context ends
// the wait for a slot, the second the run on the target.
func (h *Handler) run(queue, run context.Context, c *call) result {
	var last attempt
	sent := false
	unsent := 0
	t := ticket{service: c.service, caller: c.caller, deadline: c.deadline, repeatable: c.repeatable}
	for tries := 1; ; tries++ {
		g, refused := h.scheduler.acquire(queue, t)
		if refused != nil {
			return refusedResult(refused, last, sent)
		}
		last = h.try(run, c, g)
		sent = sent || last.sent
		if !last.sent {
			unsent++
		}
		if !h.triesAgain(run, c, last, tries, unsent) {
			return finalResult(last, sent, run.Err())
		}
		t.avoid = h.avoid(c.service, last)
		if t.avoid == nil && !last.reused {
			return finalResult(last, sent, run.Err())
		}
		c.fresh = c.fresh || (last.reused && errors.Is(last.err, targetconn.ErrNoAnswer))
		h.recordRetry(c, last)
	}
}

// try makes one attempt under a grant and gives the slot back.
func (h *Handler) try(ctx context.Context, c *call, g *grant) attempt {
	if g.spilled {
		c.service.metrics.spilled.Inc()
		h.recorder.Record(timeline.Event{Kind: timeline.RequestSpilled, Request: c.id, Service: c.service.name, VM: g.worker.vm, Pool: g.pool.name})
	}
	answer, exchange, err := g.conns.Send(ctx, h.outgoing(c, g))
	if errors.Is(err, targetconn.ErrNotAdmitted) && ctx.Err() == nil {
		h.scheduler.expire(g)
		h.reviveLater(g)
	}
	a := attempt{worker: g.worker, probe: g.probe, answer: answer, sent: exchange.Sent, reused: exchange.Reused, err: err}
	h.scheduler.release(g, verdictOf(a, ctx), a.tellsTime())
	if err != nil {
		h.log.Debug("attempt failed", "request", c.id, "service", c.service.name, "vm", g.worker.vm, "sent", a.sent, logging.Err(err))
	}
	return a
}

// outgoing describes the exchange of an attempt.
func (h *Handler) outgoing(c *call, g *grant) targetconn.Request {
	r := targetconn.Request{Method: c.method, URI: c.uri, Header: c.header, Body: c.body,
		MaxAnswerBytes: c.definition.MaxResponseBytes, WaitPastReadTimeout: !c.repeatable,
		Admit: func() bool { return h.live(g) }}
	r.NewConnReadTimeout = c.silence()
	r.ReadTimeout = min(r.NewConnReadTimeout, maxSilence)
	if silenceFactor*c.service.mean() <= maxSilence && !c.fresh {
		r.MaxIdle = targetconn.MaxIdle
	}
	if !c.repeatable {
		r.MaxIdle = min(r.MaxIdle, onceMaxIdle)
	}
	if c.definition.EchoesRequestID {
		r.EchoID = c.id
	}
	return r
}

// silence bounds the time without progress: half of the service's deadline,
// so that another attempt fits, and never less than some mean service
// times. On a connection that was used before the bound is at most
// maxSilence; a service that needs longer gets new connections, which are
// not silent by themselves.
func (c *call) silence() time.Duration {
	half := time.Duration(c.definition.DeadlineMS) * time.Millisecond / 2
	return max(half, silenceFactor*c.service.mean())
}

// live says whether the target that a grant is for holds its lease now.
func (h *Handler) live(g *grant) bool {
	target, known := h.targets()[g.worker.vm]
	return known && target.Incarnation == g.incarnation && target.Live(time.Now())
}

// reviveLater looks from time to time whether a lease that was found ended
// was renewed, until a newer table decides on the worker.
func (h *Handler) reviveLater(g *grant) {
	time.AfterFunc(leaseLookInterval, func() {
		if h.scheduler.revive(g.worker, h.live(g)) {
			h.reviveLater(g)
		}
	})
}

// verdictOf says what an attempt tells of its worker. A connection that
// was used before and brought no answer says nothing: something between
// the two ends may have lost it. The next one is new and decides.
func verdictOf(a attempt, ctx context.Context) verdict {
	if a.err == nil {
		if a.answer.Status >= http.StatusInternalServerError {
			return failed
		}
		return succeeded
	}
	neutral := []error{targetconn.ErrNotAdmitted, targetconn.ErrNoConnection, targetconn.ErrAnswerTooLarge,
		targetconn.ErrAnswerUnframed, targetconn.ErrMalformedRequest}
	for _, err := range neutral {
		if errors.Is(a.err, err) {
			return noVerdict
		}
	}
	if a.reused && errors.Is(a.err, targetconn.ErrNoAnswer) {
		return noVerdict
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return noVerdict
	}
	return failed
}

// triesAgain says whether another attempt is allowed and worth it.
func (h *Handler) triesAgain(ctx context.Context, c *call, last attempt, tries, unsent int) bool {
	if ctx.Err() != nil || !last.failedForNow() || time.Until(c.deadline) <= c.service.mean() {
		return false
	}
	if !last.sent && last.err != nil {
		return unsent < maxUnsentAttempts
	}
	if !c.repeatable || tries >= maxAttempts {
		return false
	}
	return last.probe || h.scheduler.mayRetry(c.service)
}

// failedForNow says that another worker may do better.
func (a attempt) failedForNow() bool {
	if a.err == nil {
		switch a.answer.Status {
		case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			return true
		}
		return false
	}
	return !errors.Is(a.err, targetconn.ErrAnswerTooLarge) && !errors.Is(a.err, targetconn.ErrAnswerUnframed) &&
		!errors.Is(a.err, targetconn.ErrMalformedRequest)
}

// avoid returns the worker that the next attempt must not go to. Where the
// service has no other, nil.
func (h *Handler) avoid(svc *service, last attempt) *worker {
	if h.scheduler.hasOther(svc) {
		return last.worker
	}
	return nil
}

func (h *Handler) recordRetry(c *call, last attempt) {
	c.service.metrics.retries.Inc()
	h.recorder.Record(timeline.Event{Kind: timeline.RequestRetried, Request: c.id, Service: c.service.name, VM: last.worker.vm, Cause: last.cause()})
}

// tellsTime says that the attempt's time counts as a service time: an
// answer, or the least time of one that was given up on a new connection.
// Without the latter a service slower than thought would never be learned.
func (a attempt) tellsTime() bool {
	if a.err == nil {
		return true
	}
	return a.sent && !a.reused && (errors.Is(a.err, targetconn.ErrUnresponsive) || errors.Is(a.err, context.DeadlineExceeded))
}

// cause describes a failed attempt.
func (a attempt) cause() string {
	if a.err != nil {
		return a.err.Error()
	}
	return http.StatusText(a.answer.Status)
}

// refusedResult is the result of a call that got no slot: its last attempt
// decides, if there was one.
func refusedResult(refused *refusal, last attempt, sent bool) result {
	if last.answer != nil || sent {
		return finalResult(last, sent, nil)
	}
	return result{Result: Result{Outcome: NotRun, Reason: string(refused.reason), RetryAfterS: refused.retryAfterS},
		status: refused.status, why: refused.reason}
}

// finalResult is the result of the last attempt; sent says that some byte
// of any attempt left.
func finalResult(last attempt, sent bool, ended error) result {
	vm := last.worker.vm
	if last.err == nil {
		return result{Result: Result{Outcome: Ran, Answer: last.answer, VM: vm}, status: last.answer.Status}
	}
	status := http.StatusBadGateway
	if errors.Is(ended, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	if !sent {
		return result{Result: Result{Outcome: NotRun, Reason: "no target could be reached", RetryAfterS: minRetryAfterS, VM: vm},
			status: http.StatusServiceUnavailable, why: reasonUnreached, cause: last.err}
	}
	return result{Result: Result{Outcome: Unknown, Reason: "the target gave no whole answer", VM: vm}, status: status, cause: last.err}
}
