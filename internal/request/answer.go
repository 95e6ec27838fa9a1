package request

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

const (
	// writeTimeout bounds the time to send a large answer to a slow caller.
	writeTimeout = 30 * time.Second
	// largeAnswerBytes is the size from which writeTimeout applies.
	largeAnswerBytes = 64 << 10
	// reservedHeaderPrefix is the prefix of headers that only the entry sets.
	reservedHeaderPrefix = "X-Arbutus-"
)

// Refusal is the body of an answer that comes from the entry and not from a
// target.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Request string  `json:"request"`
}

// answer records a result and sends it to the caller.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request, c *call, res result) {
	h.recordOutcome(c, &res)
	if res.Outcome == Ran {
		writeAnswer(w, r.Method, res.Answer)
		return
	}
	writeRefusal(w, c.id, res)
}

// recordOutcome counts a final result and records it in the timeline.
func (h *Handler) recordOutcome(c *call, res *result) {
	h.scheduler.countOutcome(c.service, res.Outcome)
	c.service.metrics.outcomes[res.Outcome].Inc()
	event := timeline.Event{Request: c.id, Service: c.service.name, VM: res.VM, Cause: res.Reason}
	if res.cause != nil {
		event.Cause = res.cause.Error()
		h.log.Warn("request failed", "request", c.id, "service", c.service.name, "vm", res.VM, "outcome", res.Outcome, logging.Err(res.cause))
	}
	switch res.Outcome {
	case Ran:
		c.service.metrics.seconds.Update((time.Duration(c.definition.DeadlineMS)*time.Millisecond - time.Until(c.deadline)).Seconds())
		event.Kind = timeline.RequestRan
	case NotRun:
		countRefusal(res.refusalReason)
		event.Kind = timeline.RequestRefused
	case Unknown:
		event.Kind = timeline.RequestUnknown
	}
	h.recorder.Record(event)
}

// refuse refuses a request before its service is known.
func (h *Handler) refuse(w http.ResponseWriter, id string, status int, why reason, retryAfterS int) {
	countRefusal(why)
	h.recorder.Record(timeline.Event{Kind: timeline.RequestRefused, Request: id, Cause: string(why)})
	writeRefusal(w, id, result{Result: Result{Outcome: NotRun, Reason: string(why), RetryAfterS: retryAfterS}, status: status})
}

// writeRefusal sends an answer that comes from the entry itself.
func writeRefusal(w http.ResponseWriter, id string, res result) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(OutcomeHeader, string(res.Outcome))
	header.Set(ReasonHeader, res.Reason)
	if res.RetryAfterS > 0 {
		header.Set("Retry-After", strconv.Itoa(res.RetryAfterS))
	}
	w.WriteHeader(res.status)
	// The error is ignored: it cannot be reported to a caller that has
	// disconnected.
	_ = json.NewEncoder(w).Encode(Refusal{Outcome: res.Outcome, Reason: res.Reason, Request: id})
}

// writeAnswer sends a target's whole answer to the caller.
func writeAnswer(w http.ResponseWriter, method string, answer *targetconn.Answer) {
	copyHeader(w.Header(), answer.Header)
	w.Header().Set(OutcomeHeader, string(Ran))
	switch {
	case method == http.MethodHead:
		if length := answer.Header.Get("Content-Length"); length != "" {
			w.Header().Set("Content-Length", length)
		}
	case answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	writeBody(w, answer.Body)
}

// copyHeader copies a target's header without hop-by-hop fields and the fields
// that the entry sets itself.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if name == RequestIDHeader || targetconn.HopByHop(name) || strings.HasPrefix(name, reservedHeaderPrefix) {
			continue
		}
		to[name] = values
	}
	for _, name := range targetconn.ConnectionFields(from) {
		delete(to, name)
	}
}

// writeBody sends a body. A large body has a write deadline, so that a caller
// that does not read cannot keep it in memory indefinitely.
func writeBody(w http.ResponseWriter, body []byte) {
	if len(body) >= largeAnswerBytes {
		controller := http.NewResponseController(w)
		// The response writers of tests may not support deadlines.
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	// The error is ignored: it cannot be reported to a caller that has
	// disconnected or does not read the answer.
	_, _ = w.Write(body)
}
