package batch

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/request"
	"arbutusward.example/arbutusward/internal/request/claim"
)

// Prefix is the path prefix of the routes for batch requests.
const Prefix = "/.arbutus/batch"

const (
	// storeTimeout bounds one call to the store on a caller's behalf.
	storeTimeout = 5 * time.Second
	// retryAfterS is the Retry-After header, in seconds.
	retryAfterS = "1"
	// maxCancelBytes bounds the body of a request that cancels batch requests.
	maxCancelBytes = 1 << 20
)

// Status is the status of a batch request as its caller sees it.
type Status struct {
	ID      string `json:"id"`
	Service string `json:"service,omitempty"`
	State   State  `json:"state"`
	Reason  string `json:"reason,omitempty"`
	// Result is the path of the answer in state done.
	Result string `json:"result,omitempty"`
}

// Routes serves the callers of batch requests.
type Routes struct {
	store  Store
	lookup Lookup
}

// NewRoutes returns the routes over a store.
func NewRoutes(store Store, lookup Lookup) *Routes { return &Routes{store: store, lookup: lookup} }

// Register adds the routes to an engine.
func (b *Routes) Register(engine *gin.Engine) {
	engine.GET(Prefix+"/:id", b.getStatus)
	engine.GET(Prefix+"/:id/result", b.getResult)
	engine.DELETE(Prefix+"/:id", b.cancelOne)
	engine.POST(Prefix+"/cancel", b.cancelMany)
}

// Accept stores a request to be run later and answers 202 once it is durable.
func (b *Routes) Accept(w http.ResponseWriter, r *http.Request, id, service string, body []byte) {
	if len(body) > MaxBodyBytes {
		refuse(w, http.StatusRequestEntityTooLarge, request.NotRun, "a batch request's body is bounded to "+strconv.Itoa(MaxBodyBytes)+" bytes", id)
		return
	}
	found, _ := b.lookup(service)
	accepted := newRequest(r, service, body, slices.Contains(found.IdempotentMethods, r.Method))
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	stored, err := b.store.Accept(ctx, accepted)
	switch {
	case errors.Is(err, ErrConflict):
		refuse(w, http.StatusConflict, request.NotRun, err.Error(), id)
	case errors.Is(err, ErrRefused):
		refuse(w, http.StatusServiceUnavailable, request.NotRun, err.Error(), id)
	case err != nil:
		// The request may have been accepted, so only a caller that used an
		// idempotency key can retry it safely.
		refuse(w, http.StatusServiceUnavailable, request.Unknown, "it is not known whether the request was accepted", id)
	default:
		w.Header().Set("Location", Prefix+"/"+stored)
		writeJSON(w, http.StatusAccepted, Status{ID: stored, Service: service, State: Queued})
	}
}

func newRequest(r *http.Request, service string, body []byte, idempotent bool) Request {
	caller := r.Header.Get(request.CallerHeader)
	accepted := Request{ID: rand.Text(), Service: service, Caller: caller, Method: r.Method, URI: r.URL.RequestURI(), Header: endToEndHeader(r.Header), Body: body, Idempotent: idempotent}
	if key := r.Header.Get(claim.KeyHeader); key != "" {
		accepted.Key = claim.ScopedKey(claim.Request{Service: service, Caller: caller, Key: key})
		accepted.KeyTimeMS = claim.KeyTimeMS(key)
		digest := sha256.Sum256(bytes.Join([][]byte{[]byte(r.Method), []byte(accepted.URI), body}, []byte("\n")))
		accepted.Digest = digest[:]
	}
	return accepted
}

// endToEndHeader returns the header without the fields that apply to a single
// connection only.
func endToEndHeader(header http.Header) http.Header {
	kept := header.Clone()
	for _, name := range []string{"Connection", "Keep-Alive", "Prefer", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"} {
		kept.Del(name)
	}
	return kept
}

func (b *Routes) getStatus(c *gin.Context) {
	if job, found := b.loadJob(c); found {
		writeStatus(c, http.StatusOK, &job)
	}
}

// getResult sends the target's answer to the caller.
func (b *Routes) getResult(c *gin.Context) {
	job, found := b.loadJob(c)
	if !found {
		return
	}
	if job.Answer == nil {
		writeStatus(c, http.StatusConflict, &job)
		return
	}
	header := c.Writer.Header()
	for name, values := range job.Answer.Header {
		header[name] = values
	}
	header.Set(request.OutcomeHeader, string(request.Ran))
	header.Set("Content-Length", strconv.Itoa(len(job.Answer.Body)))
	c.Writer.WriteHeader(job.Answer.Status)
	// The error is ignored: it cannot be reported to a caller that has
	// disconnected.
	_, _ = c.Writer.Write(job.Answer.Body)
}

// loadJob returns the batch request whose ID is in the path. If it cannot, it
// answers the caller with the error and returns false.
func (b *Routes) loadJob(c *gin.Context) (Job, bool) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), storeTimeout)
	defer cancel()
	job, err := b.store.Get(ctx, c.Param("id"))
	if err != nil {
		writeStoreError(c, err)
		return Job{}, false
	}
	return job, true
}

func (b *Routes) cancelOne(c *gin.Context) {
	id := c.Param("id")
	states, ok := b.cancel(c, []string{id})
	if !ok {
		return
	}
	state, known := states.States[id]
	if !known {
		writeStoreError(c, ErrNotFound)
		return
	}
	writeJSON(c.Writer, http.StatusOK, Status{ID: id, State: state})
}

// cancelList is the body of a cancellation of many requests.
type cancelList struct {
	IDs []string `json:"ids"`
}

// cancelMany cancels a list of requests with one command.
func (b *Routes) cancelMany(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxCancelBytes)
	var list cancelList
	if err := c.ShouldBindJSON(&list); err != nil || len(list.IDs) > MaxCancel {
		refuse(c.Writer, http.StatusBadRequest, request.NotRun, "expected ids, at most "+strconv.Itoa(MaxCancel), "")
		return
	}
	if states, ok := b.cancel(c, list.IDs); ok {
		writeJSON(c.Writer, http.StatusOK, states.States)
	}
}

func (b *Routes) cancel(c *gin.Context, ids []string) (States, bool) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), storeTimeout)
	defer cancel()
	states, err := b.store.Cancel(ctx, ids)
	if err != nil {
		writeStoreError(c, err)
		return States{}, false
	}
	return states, true
}

// writeStatus sends the status of a request and, if it has ended, its outcome.
func writeStatus(c *gin.Context, code int, job *Job) {
	status := Status{ID: job.ID, Service: job.Service, State: job.State, Reason: job.Reason}
	switch {
	case job.Answer != nil:
		status.Result = Prefix + "/" + job.ID + "/result"
	case job.EndedMS == 0:
		c.Writer.Header().Set("Retry-After", retryAfterS)
	}
	if outcome := outcomeOf(job); outcome != "" {
		c.Writer.Header().Set(request.OutcomeHeader, string(outcome))
	}
	writeJSON(c.Writer, code, status)
}

// outcomeOf returns the outcome of a request, or "" if it has not ended.
func outcomeOf(job *Job) request.Outcome {
	switch {
	case job.EndedMS == 0:
		return ""
	case job.State == Done:
		return request.Ran
	case job.LostAttempts > 0:
		return request.Unknown
	}
	return request.NotRun
}

func writeStoreError(c *gin.Context, err error) {
	if errors.Is(err, ErrNotFound) {
		writeJSON(c.Writer, http.StatusNotFound, request.Refusal{Reason: err.Error()})
		return
	}
	c.Writer.Header().Set("Retry-After", retryAfterS)
	writeJSON(c.Writer, http.StatusServiceUnavailable, request.Refusal{Reason: "the control processes cannot be reached: " + strings.TrimSpace(err.Error())})
}

func refuse(w http.ResponseWriter, code int, outcome request.Outcome, reason, id string) {
	w.Header().Set(request.OutcomeHeader, string(outcome))
	w.Header().Set(request.ReasonHeader, reason)
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterS)
	}
	writeJSON(w, code, request.Refusal{Outcome: outcome, Reason: reason, Request: id})
}
