package request

import (
	"context"
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/connection/targetconn"
)

// Dispatch is one request to be run on a target of a service.
type Dispatch struct {
	ID      string
	Service string
	Method  string
	// URI is the path with the query.
	URI    string
	Header http.Header
	Body   []byte
	// Caller identifies the caller in the service's fair queue.
	Caller string
}

// Result is the result of a dispatch.
type Result struct {
	Outcome Outcome
	// Answer is set with outcome Ran.
	Answer *targetconn.Answer
	// Reason explains the outcomes NotRun and Unknown.
	Reason string
	// RetryAfterS is the Retry-After advice in seconds, or 0 for none.
	RetryAfterS int
	// VM is the VM of the last attempt.
	VM string
}

// Dispatch runs one request under the service's limits until the context
// ends. It does not claim an idempotency key, so non-idempotent work that is
// dispatched twice runs twice.
func (h *Handler) Dispatch(ctx context.Context, d Dispatch) Result {
	current := h.routing.Load()
	if current == nil || current.services[d.Service] == nil {
		return Result{Outcome: NotRun, Reason: string(reasonRemoved), RetryAfterS: minRetryAfterS}
	}
	definition := current.table.View.Services[d.Service]
	c := &call{id: d.ID, definition: &definition, service: current.services[d.Service], method: d.Method, uri: d.URI,
		header: targetHeader(d.Header, d.ID), body: d.Body, caller: d.Caller, idempotent: idempotent(&definition, d.Method)}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(definition.DeadlineMS)*time.Millisecond)
	defer cancel()
	c.deadline, _ = ctx.Deadline()
	h.scheduler.countArrival(c.service)
	result := h.run(ctx, ctx, c)
	h.recordOutcome(c, &result)
	return result.Result
}

// Drained reports whether the VM gets no new work under the epoch, or a later
// one, and no request of this entry is in flight to it.
func (h *Handler) Drained(vm string, epoch uint64) bool { return h.scheduler.drained(vm, epoch) }

// Suspected reports whether the VM has failed requests recently.
func (h *Handler) Suspected(vm string) bool { return h.scheduler.suspected(vm) }

// InFlight returns the number of this entry's requests in flight to the VM.
func (h *Handler) InFlight(vm string) int { return h.scheduler.inFlight(vm) }

// Usage returns the usage of each service since the previous call.
func (h *Handler) Usage() []message.ServiceUsage { return h.scheduler.reportUsage() }
