package request

import (
	"context"
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/connection/targetconn"
)

// Dispatch is one request to be run on a target of a service, for callers
// and for accepted batch requests alike.
type Dispatch struct {
	ID      string
	Service string
	Method  string
	// URI is the path with the query.
	URI    string
	Header http.Header
	Body   []byte
	// Caller identifies the caller for fairness.
	Caller string
}

// Result is what became of a dispatch.
type Result struct {
	Outcome Outcome
	// Answer is set with outcome Ran.
	Answer *targetconn.Answer
	// Reason says why the request did not run, or may have.
	Reason string
	// RetryAfterS is when to come back, in seconds; 0 for no advice.
	RetryAfterS int
	// VM is the last VM that was tried.
	VM string
}

// Dispatch runs one request under the service's limits until the context
// ends. It makes no claim: whoever dispatches non-idempotent work twice
// runs it twice.
func (h *Handler) Dispatch(ctx context.Context, d Dispatch) Result {
	current := h.routing.Load()
	if current == nil || current.services[d.Service] == nil {
		return Result{Outcome: NotRun, Reason: string(reasonRemoved), RetryAfterS: minRetryAfterS}
	}
	definition := current.table.View.Services[d.Service]
	c := &call{id: d.ID, definition: &definition, service: current.services[d.Service], method: d.Method, uri: d.URI,
		header: outgoingHeader(d.Header, d.ID), body: d.Body, caller: d.Caller, repeatable: idempotent(&definition, d.Method)}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(definition.DeadlineMS)*time.Millisecond)
	defer cancel()
	c.deadline, _ = ctx.Deadline()
	h.scheduler.arrived(c.service)
	result := h.run(ctx, ctx, c)
	h.account(c, &result)
	return result.Result
}

// Drained says that the VM gets no new work under the epoch, or a later
// one, and that none of this entry's requests is in flight to it.
func (h *Handler) Drained(vm string, epoch uint64) bool { return h.scheduler.drained(vm, epoch) }

// Suspected says that the VM failed requests of late.
func (h *Handler) Suspected(vm string) bool { return h.scheduler.suspected(vm) }

// InFlight returns the number of this entry's requests on the VM.
func (h *Handler) InFlight(vm string) int { return h.scheduler.inFlight(vm) }

// Usage returns the use of each service since the last call.
func (h *Handler) Usage() []message.ServiceUsage { return h.scheduler.reportUsage() }
