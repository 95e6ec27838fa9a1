package state

import (
	"bytes"
	"slices"

	"arbutusward.example/arbutusward/internal/request/batch"
	"arbutusward.example/arbutusward/internal/request/claim"
)

// Bounds of the batch table.
const (
	maxOpenBatch    = 20_000
	maxEndedBatch   = 20_000
	maxBatchBodies  = 32 << 20
	maxBatchAnswers = 32 << 20
	// maxBatchScan bounds the queued requests looked at for one lease.
	maxBatchScan = 1024
	// A request that could not run is offered again after minBatchBackoffMS,
	// twice that the next time, and so on up to maxBatchBackoffMS.
	minBatchBackoffMS = 1000
	maxBatchBackoffMS = 30_000
)

// batchTable holds all batch requests within their retention.
type batchTable struct {
	Jobs map[string]batch.Job `cbor:"1,keyasint"`
	// Queues lists the queued requests of each service in order, and some
	// that are not queued any more.
	Queues map[string][]string `cbor:"2,keyasint"`
	// Ended lists the ended requests, oldest first.
	Ended []string `cbor:"3,keyasint"`
	// ByKey finds a request by its scoped key.
	ByKey       map[string]string `cbor:"4,keyasint"`
	BodyBytes   int               `cbor:"5,keyasint"`
	AnswerBytes int               `cbor:"6,keyasint"`
	Running     map[string]bool   `cbor:"7,keyasint"`
	// Queued is the number of requests in state queued.
	Queued int `cbor:"8,keyasint"`
	// AnswersDropped is the number at the head of Ended without an answer.
	AnswersDropped int `cbor:"9,keyasint"`
}

func newBatchTable() batchTable {
	return batchTable{Jobs: map[string]batch.Job{}, ByKey: map[string]string{}, Running: map[string]bool{}, Queues: map[string][]string{}}
}

// applyAcceptBatch stores a batch request. The same ID, or the same key
// with the same content, gets the request that was stored first.
func applyAcceptBatch(m *Machine, c position, request batch.Request) Result {
	now := m.clock(c)
	t := &m.data.Batch
	m.forgetBatch(now)
	if known, ok := t.Jobs[request.ID]; ok {
		return okResult(known.ID)
	}
	if result, answered := t.repeated(request); answered {
		return result
	}
	if _, claimed := m.data.Claims.Held[request.Key]; claimed {
		return refuse(Conflict, "the key was used for a request that is not a batch request")
	}
	if reason := m.expiredBatchKey(request, now); reason != "" {
		return refuse(Refused, "%s", reason)
	}
	open := t.Queued + len(t.Running)
	if open >= maxOpenBatch || len(t.Jobs) >= maxOpenBatch+maxEndedBatch || t.BodyBytes+len(request.Body) > maxBatchBodies {
		return refuse(Refused, "the batch queue is full")
	}
	t.Jobs[request.ID] = batch.Job{Request: request, State: batch.Queued, AcceptedMS: now}
	if request.Key != "" {
		t.ByKey[request.Key] = request.ID
	}
	t.BodyBytes += len(request.Body)
	t.enqueue(request.Service, request.ID)
	return okResult(request.ID)
}

// repeated answers a request whose key is known.
func (t *batchTable) repeated(request batch.Request) (Result, bool) {
	id, known := t.ByKey[request.Key]
	if request.Key == "" || !known {
		return Result{}, false
	}
	if !bytes.Equal(t.Jobs[id].Digest, request.Digest) {
		return refuse(Conflict, "the key was used with other content"), true
	}
	return okResult(id), true
}

// expiredBatchKey returns why a key that is not known must not run, or "".
func (m *Machine) expiredBatchKey(request batch.Request, now int64) string {
	if request.Key == "" {
		return ""
	}
	return m.data.Claims.expired(ClaimCommand{Key: request.Key, KeyTimeMS: request.KeyTimeMS}, now)
}

func (t *batchTable) enqueue(service, id string) {
	t.Queues[service] = append(t.Queues[service], id)
	t.Queued++
}

// forgetBatch drops ended requests that are past their retention, or
// above the bound of their number.
func (m *Machine) forgetBatch(now int64) {
	t := &m.data.Batch
	for len(t.Ended) > 0 {
		job := t.Jobs[t.Ended[0]]
		over := len(t.Ended) > maxEndedBatch && job.Key == ""
		if !over && max(job.EndedMS, job.KeyTimeMS)+batch.Retention.Milliseconds() > now {
			return
		}
		t.forget(job)
		if job.Key != "" && job.KeyTimeMS == 0 {
			m.data.Claims.refuseLater(job.Key, now)
		}
	}
}

// forget drops the oldest ended request.
func (t *batchTable) forget(job batch.Job) {
	t.Ended = t.Ended[1:]
	t.AnswersDropped = max(0, t.AnswersDropped-1)
	if job.Answer != nil {
		t.AnswerBytes -= job.Answer.Size()
	}
	delete(t.ByKey, job.Key)
	delete(t.Jobs, job.ID)
}

// endBatch brings a request to its final state and frees its body.
func (m *Machine) endBatch(job batch.Job, state batch.State, reason string, answer *claim.Answer) {
	t := &m.data.Batch
	if job.State == batch.Queued {
		t.Queued--
	}
	delete(t.Running, job.ID)
	t.BodyBytes -= len(job.Body)
	job.Body, job.Header = nil, nil
	job.State, job.Reason, job.Answer = state, reason, answer
	job.EndedMS = m.data.ClockMS
	t.Jobs[job.ID] = job
	t.Ended = append(t.Ended, job.ID)
	if answer != nil {
		t.AnswerBytes += answer.Size()
	}
	t.bound()
}

// bound keeps the ended requests and their answers within their bounds.
func (t *batchTable) bound() {
	for t.AnswerBytes > maxBatchAnswers && t.AnswersDropped < len(t.Ended) {
		job := t.Jobs[t.Ended[t.AnswersDropped]]
		t.AnswersDropped++
		if job.Answer == nil {
			continue
		}
		t.AnswerBytes -= job.Answer.Size()
		job.Answer, job.Reason = nil, "the answer was dropped for space"
		t.Jobs[job.ID] = job
	}
}

// requeueBatch offers a request again, unless it is too old.
func (m *Machine) requeueBatch(job batch.Job, reason string) {
	now := m.data.ClockMS
	if job.Cancelling {
		m.endBatch(job, batch.Cancelled, "cancelled", nil)
		return
	}
	if now-job.AcceptedMS > batch.MaxAge.Milliseconds() {
		m.endBatch(job, batch.Failed, "not run in time: "+reason, nil)
		return
	}
	delete(m.data.Batch.Running, job.ID)
	job.State, job.Reason = batch.Queued, reason
	job.DeferredAttempts++
	job.NotBeforeMS = now + min(int64(minBatchBackoffMS)<<min(job.DeferredAttempts-1, 10), maxBatchBackoffMS)
	m.data.Batch.Jobs[job.ID] = job
	m.data.Batch.enqueue(job.Service, job.ID)
}

// loseBatch ends an attempt that may have begun and whose entry is gone.
func (m *Machine) loseBatch(job batch.Job, reason string) {
	job.LostAttempts++
	switch {
	case !job.Idempotent:
		m.endBatch(job, batch.Unknown, reason+"; it may have run", nil)
	case job.LostAttempts >= batch.MaxAttempts:
		m.endBatch(job, batch.Failed, reason+" in the last attempt", nil)
	default:
		m.requeueBatch(job, reason)
	}
}

// judgeBatch answers a claim on a key that names a batch request.
func judgeBatch(job batch.Job) ClaimAnswer {
	switch {
	case job.State == batch.Done && job.Answer != nil:
		return ClaimAnswer{State: claim.Finished, Answer: job.Answer}
	case job.State == batch.Queued || job.State == batch.Running:
		return ClaimAnswer{State: claim.InProgress, Reason: "the key names batch request " + job.ID}
	}
	return ClaimAnswer{State: claim.Unknown, Reason: "the key names batch request " + job.ID + ", which is " + string(job.State)}
}

// runningSorted lists the running requests in a stable order.
func (t *batchTable) runningSorted() []string {
	ids := make([]string, 0, len(t.Running))
	for id := range t.Running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
