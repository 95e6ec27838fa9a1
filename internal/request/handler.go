package request

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/request/claim"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

// CallerHeader is the header that names the caller. The component that
// authenticates callers sets it.
const CallerHeader = "X-Arbutus-Caller"

// LeaseSource provides the targets with their current leases.
type LeaseSource interface {
	Snapshot() *announce.Snapshot
}

// BatchAcceptor accepts batch requests that are run later, and answers the
// caller.
type BatchAcceptor interface {
	Accept(w http.ResponseWriter, r *http.Request, id, service string, body []byte)
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	routing   atomic.Pointer[routing]
	scheduler *scheduler
	client    *targetconn.Client
	claimer   claim.Claimer
	recorder  *timeline.Recorder
	log       *slog.Logger
	// leases and batch are set before the first request.
	leases LeaseSource
	batch  BatchAcceptor
	// bodyBytes is the number of bytes of request bodies in memory.
	bodyBytes atomic.Int64
}

// routing is a table with the state of its services, which outlives the table.
type routing struct {
	table    *Table
	services map[string]*service
}

// NewHandler returns a handler that refuses all requests until SetTable is called.
// Without a claimer, keyed non-idempotent requests are refused.
func NewHandler(client *targetconn.Client, claimer claim.Claimer, recorder *timeline.Recorder, log *slog.Logger) *Handler {
	h := &Handler{client: client, claimer: claimer, recorder: recorder, log: log, scheduler: newScheduler(recorder)}
	h.scheduler.registerGauges()
	return h
}

// SetTable replaces the table for all later requests.
func (h *Handler) SetTable(table *Table) {
	services := h.scheduler.applyTable(table, h.client)
	h.routing.Store(&routing{table: table, services: services})
}

// SetLeaseSource makes the handler check leases at the moment of each dispatch.
// Without it the leases of the table are used. Call it before the first request.
func (h *Handler) SetLeaseSource(source LeaseSource) { h.leases = source }

// SetBatchAcceptor makes the handler accept batch requests that are run later.
// Call it before the first request.
func (h *Handler) SetBatchAcceptor(acceptor BatchAcceptor) { h.batch = acceptor }

// targets returns the targets with their current leases.
func (h *Handler) targets() map[string]announce.Target {
	if h.leases != nil {
		return h.leases.Snapshot().Targets
	}
	return h.routing.Load().table.targets
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := requestID(r.Header)
	w.Header().Set(RequestIDHeader, id)
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		h.refuse(w, id, http.StatusNotImplemented, reasonMethod, 0)
		return
	}
	current := h.routing.Load()
	if current == nil || current.table.View.Version == 0 {
		h.refuse(w, id, http.StatusServiceUnavailable, reasonNoDocument, minRetryAfterS)
		return
	}
	definition := current.table.find(r.URL.Path)
	if definition == nil {
		h.refuse(w, id, http.StatusNotFound, reasonNoRoute, 0)
		return
	}
	svc := current.services[definition.Name]
	h.scheduler.countArrival(svc)
	body, refused := h.readBody(w, r, definition)
	if refused != nil {
		h.answer(w, r, &call{id: id, service: svc}, refusedResult(refused, attempt{}, false))
		return
	}
	defer h.bodyBytes.Add(-int64(len(body)))
	h.serve(w, r, h.newCall(r, id, definition, svc, body))
}

// newCall returns the call of a request whose body has been read.
func (h *Handler) newCall(r *http.Request, id string, definition *fleet.Service, svc *service, body []byte) *call {
	return &call{id: id, definition: definition, service: svc, method: r.Method, uri: r.URL.RequestURI(),
		header: targetHeader(r.Header, id), body: body, caller: callerOf(r), idempotent: idempotent(definition, r.Method),
		deadline: time.Now().Add(time.Duration(definition.DeadlineMS) * time.Millisecond)}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, c *call) {
	switch {
	case h.batch != nil && c.definition.Class == fleet.Batch && prefersAsync(r.Header):
		h.batch.Accept(w, r, c.id, c.service.name, c.body)
	case !c.idempotent && r.Header.Get(claim.KeyHeader) != "":
		h.serveKeyed(w, r, c)
	default:
		h.answer(w, r, c, h.runForCaller(r, c))
	}
}

// runForCaller runs a call for its caller. If the caller disconnects,
// idempotent work is cancelled, while non-idempotent work that has started runs
// to its end.
func (h *Handler) runForCaller(r *http.Request, c *call) result {
	queueCtx := r.Context()
	parent := queueCtx
	if !c.idempotent {
		parent = context.WithoutCancel(queueCtx)
	}
	runCtx, cancel := context.WithDeadline(parent, c.deadline)
	defer cancel()
	return h.run(queueCtx, runCtx, c)
}

// prefersAsync reports whether the caller asks for asynchronous processing
// (RFC 7240, respond-async).
func prefersAsync(header http.Header) bool {
	for _, value := range header.Values("Prefer") {
		for preference := range strings.SplitSeq(value, ",") {
			name, _, _ := strings.Cut(preference, ";")
			if strings.EqualFold(strings.TrimSpace(name), "respond-async") {
				return true
			}
		}
	}
	return false
}

// callerOf identifies the caller by CallerHeader or, without it, by its IP
// address.
func callerOf(r *http.Request) string {
	if caller := r.Header.Get(CallerHeader); caller != "" {
		return caller
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
