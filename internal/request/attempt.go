package request

import (
	"context"
	"errors"
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Limits of one attempt.
const (
	// maxReusedReadTimeout bounds the read timeout on a connection that was
	// used before, and so the time to detect a dead connection.
	maxReusedReadTimeout = 3 * time.Second
	// readTimeoutFactor is the minimum read timeout on a new connection, as a
	// multiple of the mean service time.
	readTimeoutFactor = 4
	// nonIdempotentMaxIdle bounds the idle time of a reused connection for
	// non-idempotent work. If the connection turns out to be dead only after
	// the write, the outcome of such work is unknown.
	nonIdempotentMaxIdle = 200 * time.Millisecond
	// leasePollInterval is the time between checks whether an expired lease
	// was renewed.
	leasePollInterval = 200 * time.Millisecond
)

// attempt is one attempt to run a call on a worker.
type attempt struct {
	worker *worker
	probe  bool
	answer *targetconn.Answer
	sent   bool
	reused bool
	err    error
}

// runAttempt makes one attempt with a granted slot and releases the slot.
func (h *Handler) runAttempt(ctx context.Context, c *call, g *grant) attempt {
	if g.spilled {
		c.service.metrics.spilled.Inc()
		h.recorder.Record(timeline.Event{Kind: timeline.RequestSpilled, Request: c.id, Service: c.service.name, VM: g.worker.vm, Pool: g.pool.name})
	}
	answer, exchange, err := g.conns.Send(ctx, h.targetRequest(c, g))
	if errors.Is(err, targetconn.ErrNotAdmitted) && ctx.Err() == nil {
		h.scheduler.markExpired(g)
		h.scheduleRestore(g)
	}
	a := attempt{worker: g.worker, probe: g.probe, answer: answer, sent: exchange.Sent, reused: exchange.Reused, err: err}
	h.scheduler.release(g, verdictOf(a, ctx), a.measuresServiceTime())
	if err != nil {
		h.log.Debug("attempt failed", "request", c.id, "service", c.service.name, "vm", g.worker.vm, "sent", a.sent, logging.Err(err))
	}
	return a
}

// targetRequest returns the request that an attempt sends to the target.
func (h *Handler) targetRequest(c *call, g *grant) targetconn.Request {
	r := targetconn.Request{Method: c.method, URI: c.uri, Header: c.header, Body: c.body,
		MaxAnswerBytes: c.definition.MaxResponseBytes, WaitPastReadTimeout: !c.idempotent,
		Admit: func() bool { return h.leaseValid(g) }}
	r.NewConnReadTimeout = c.readTimeout()
	r.ReadTimeout = min(r.NewConnReadTimeout, maxReusedReadTimeout)
	if readTimeoutFactor*c.service.meanServiceTime() <= maxReusedReadTimeout && !c.forceNewConn {
		r.MaxIdle = targetconn.MaxIdle
	}
	if !c.idempotent {
		r.MaxIdle = min(r.MaxIdle, nonIdempotentMaxIdle)
	}
	if c.definition.EchoesRequestID {
		r.EchoID = c.id
	}
	return r
}

// readTimeout returns the read timeout on a new connection. It is half of the
// service's deadline, so that a second attempt is possible, but at least
// readTimeoutFactor mean service times. On a reused connection the timeout is
// at most maxReusedReadTimeout, since the connection may be dead. A service for
// which that is too short always gets new connections.
func (c *call) readTimeout() time.Duration {
	half := time.Duration(c.definition.DeadlineMS) * time.Millisecond / 2
	return max(half, readTimeoutFactor*c.service.meanServiceTime())
}

// leaseValid reports whether the target of a grant has a valid lease now.
func (h *Handler) leaseValid(g *grant) bool {
	target, known := h.targets()[g.worker.vm]
	return known && target.Incarnation == g.incarnation && target.Live(time.Now())
}

// scheduleRestore checks periodically whether an expired lease was renewed, and
// then restores the worker. It stops once a newer table has updated the worker.
func (h *Handler) scheduleRestore(g *grant) {
	time.AfterFunc(leasePollInterval, func() {
		if h.scheduler.restoreIfLive(g.worker, h.leaseValid(g)) {
			h.scheduleRestore(g)
		}
	})
}

// verdictOf returns the verdict of an attempt on its worker. A missing answer on
// a reused connection yields no verdict, because the connection may have been
// lost between the two ends. A retry of the call, if there is one, uses a new
// connection and so yields a verdict.
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

// retryable reports whether the call may succeed on another worker.
func (a attempt) retryable() bool {
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

// measuresServiceTime reports whether the duration of the attempt counts as a
// service time. That is the case for an answer, and for a timeout on a new
// connection, whose duration is a lower bound. Without such lower bounds a
// service that is slower than the estimate would never correct the estimate.
func (a attempt) measuresServiceTime() bool {
	if a.err == nil {
		return true
	}
	return a.sent && !a.reused && (errors.Is(a.err, targetconn.ErrUnresponsive) || errors.Is(a.err, context.DeadlineExceeded))
}

// cause returns a description of why the attempt failed.
func (a attempt) cause() string {
	if a.err != nil {
		return a.err.Error()
	}
	return http.StatusText(a.answer.Status)
}
