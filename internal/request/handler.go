package request

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"log/slog"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/request/claim"
)

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	table    atomic.Pointer[Table]
	client   *targetconn.Client
	claimer  claim.Claimer
	recorder *timeline.Recorder
	log      *slog.Logger
}

// NewHandler returns a handler that refuses everything until SetTable.
// Without a claimer, keyed non-idempotent requests are refused.
func NewHandler(client *targetconn.Client, claimer claim.Claimer, recorder *timeline.Recorder, log *slog.Logger) *Handler {
	return &Handler{client: client, claimer: claimer, recorder: recorder, log: log}
}

// SetTable replaces the knowledge for all requests that begin from now on.
func (h *Handler) SetTable(table *Table) { h.table.Store(table) }

// Refusal is the body of an answer that the system itself gives.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Request string  `json:"request"`
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(RequestIDHeader)
	if id == "" {
		id = rand.Text()
	}
	w.Header().Set(RequestIDHeader, id)
	table := h.table.Load()
	if table == nil || table.View.Version == 0 {
		h.refuse(w, id, "", http.StatusServiceUnavailable, NotRun, "no document is in force yet")
		return
	}
	found := table.find(r.URL.Path)
	if found == nil {
		h.refuse(w, id, "", http.StatusNotFound, NotRun, "no service has this route")
		return
	}
	h.serveRoute(w, r, id, found)
}

func (h *Handler) serveRoute(w http.ResponseWriter, r *http.Request, id string, found *route) {
	service := found.service
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, service.MaxRequestBytes))
	if err != nil {
		h.refuse(w, id, service.Name, http.StatusRequestEntityTooLarge, NotRun, "the request body is too large or was cut")
		return
	}
	if h.claimer == nil && r.Header.Get(claim.KeyHeader) != "" {
		h.refuse(w, id, service.Name, http.StatusServiceUnavailable, NotRun, "no claims can be made")
		return
	}
	if len(found.targets) == 0 {
		h.refuse(w, id, service.Name, http.StatusServiceUnavailable, NotRun, "no target of the service is live")
		return
	}
	target := found.targets[mathrand.IntN(len(found.targets))]
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(service.DeadlineMS)*time.Millisecond)
	defer cancel()
	header := r.Header.Clone()
	header.Set(RequestIDHeader, id)
	answer, sent, err := h.client.Send(ctx, targetconn.Request{
		Address: target.Address, Method: r.Method, URI: r.URL.RequestURI(), Header: header, Body: body,
		MaxAnswerBytes: service.MaxResponseBytes,
	})
	if err != nil {
		h.failed(w, id, service.Name, target.VM, sent, err)
		return
	}
	h.recorder.Record(timeline.Event{Kind: timeline.RequestRan, Request: id, Service: service.Name, VM: target.VM})
	writeAnswer(w, answer)
}

func (h *Handler) failed(w http.ResponseWriter, id, service, vm string, sent bool, err error) {
	h.log.Warn("request failed", "request", id, "service", service, "vm", vm, logging.Err(err))
	outcome := NotRun
	if sent {
		outcome = Unknown
		h.recorder.Record(timeline.Event{Kind: timeline.RequestUnknown, Request: id, Service: service, VM: vm, Cause: err.Error()})
	}
	h.refuse(w, id, service, http.StatusBadGateway, outcome, "the target gave no whole answer")
}

// refuse answers for the system itself.
func (h *Handler) refuse(w http.ResponseWriter, id, service string, status int, outcome Outcome, reason string) {
	if outcome == NotRun {
		h.recorder.Record(timeline.Event{Kind: timeline.RequestRefused, Request: id, Service: service, Cause: reason})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(OutcomeHeader, string(outcome))
	w.Header().Set(ReasonHeader, reason)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(Refusal{Outcome: outcome, Reason: reason, Request: id})
}

// writeAnswer sends a target's whole answer to the caller.
func writeAnswer(w http.ResponseWriter, answer *targetconn.Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		if name != RequestIDHeader && name != "Connection" && name != "Transfer-Encoding" {
			header[name] = values
		}
	}
	header.Set(OutcomeHeader, string(Ran))
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	// The caller may be gone; there is nobody left to tell.
	_, _ = w.Write(answer.Body)
}
