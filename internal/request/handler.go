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

// CallerHeader names the caller, set by whoever authenticates callers.
const CallerHeader = "X-Arbutus-Caller"

// LeaseSource tells the targets with their leases as of now.
type LeaseSource interface {
	Snapshot() *announce.Snapshot
}

// BatchAcceptor takes batch requests that are run later; it answers the caller.
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
	// bodyBytes counts the bytes of request bodies held.
	bodyBytes atomic.Int64
}

// routing is a table with the services' lasting state.
type routing struct {
	table    *Table
	services map[string]*service
}

// NewHandler returns a handler that refuses everything until SetTable.
// Without a claimer, keyed non-idempotent requests are refused.
func NewHandler(client *targetconn.Client, claimer claim.Claimer, recorder *timeline.Recorder, log *slog.Logger) *Handler {
	h := &Handler{client: client, claimer: claimer, recorder: recorder, log: log, scheduler: newScheduler(recorder)}
	h.scheduler.registerGauges()
	return h
}

// SetTable replaces the knowledge for all requests that begin from now on.
func (h *Handler) SetTable(table *Table) {
	services := h.scheduler.bind(table, h.client)
	h.routing.Store(&routing{table: table, services: services})
}

// SetLeaseSource makes the handler check leases as of the moment of a dispatch;
// without it the table's own are used. Call it before the first request.
func (h *Handler) SetLeaseSource(source LeaseSource) { h.leases = source }

// SetBatchAcceptor makes the handler accept batch requests for later. Call
// it before the first request.
func (h *Handler) SetBatchAcceptor(acceptor BatchAcceptor) { h.batch = acceptor }

// targets returns the targets with their leases as of now.
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
	h.scheduler.arrived(svc)
	body, refused := h.readBody(w, r, definition)
	if refused != nil {
		h.answer(w, r, &call{id: id, service: svc}, refusedResult(refused, attempt{}, false))
		return
	}
	defer h.bodyBytes.Add(-int64(len(body)))
	h.serve(w, r, h.newCall(r, id, definition, svc, body))
}

// newCall describes a request whose body has arrived.
func (h *Handler) newCall(r *http.Request, id string, definition *fleet.Service, svc *service, body []byte) *call {
	return &call{id: id, definition: definition, service: svc, method: r.Method, uri: r.URL.RequestURI(),
		header: outgoingHeader(r.Header, id), body: body, caller: callerOf(r), repeatable: idempotent(definition, r.Method),
		deadline: time.Now().Add(time.Duration(definition.DeadlineMS) * time.Millisecond)}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, c *call) {
	switch {
	case h.batch != nil && c.definition.Class == fleet.Batch && prefersAsync(r.Header):
		h.batch.Accept(w, r, c.id, c.service.name, c.body)
	case !c.repeatable && r.Header.Get(claim.KeyHeader) != "":
		h.serveKeyed(w, r, c)
	default:
		h.answer(w, r, c, h.runFor(r, c))
	}
}

// runFor runs a call for its caller. Idempotent work is abandoned with its
// caller; other work runs to its end once it began.
func (h *Handler) runFor(r *http.Request, c *call) result {
	queue := r.Context()
	parent := queue
	if !c.repeatable {
		parent = context.WithoutCancel(queue)
	}
	run, cancel := context.WithDeadline(parent, c.deadline)
	defer cancel()
	return h.run(queue, run, c)
}

// prefersAsync says that the caller asked for a later answer (RFC 7240).
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

// callerOf identifies the caller.
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
