package state

import (
	"bytes"
	"slices"

	"arbutusward.example/arbutusward/internal/request/batch"
	"arbutusward.example/arbutusward/internal/request/claim"
)

// Limits of the batch table.
const (
	maxOpenBatch    = 20_000
	maxEndedBatch   = 20_000
	maxBatchBodies  = 32 << 20
	maxBatchAnswers = 32 << 20
	// maxBatchScan is the number of queued requests of a service that are
	// examined for one lease.
	maxBatchScan = 1024
	// A request that could not run is retried after a backoff that starts at
	// minBatchBackoffMS and doubles up to maxBatchBackoffMS.
	minBatchBackoffMS = 1000
	maxBatchBackoffMS = 30_000
)

// batchTable holds all batch requests within their retention.
type batchTable struct {
	Jobs map[string]batch.Job `cbor:"1,keyasint"`
	// Queues holds the queue of each service, oldest first. It may also
	// contain requests that are no longer queued.
	Queues map[string][]string `cbor:"2,keyasint"`
	// Ended lists the ended requests, oldest first.
	Ended []string `cbor:"3,keyasint"`
	// ByKey maps a scoped idempotency key to the ID of its request.
	ByKey       map[string]string `cbor:"4,keyasint"`
	BodyBytes   int               `cbor:"5,keyasint"`
	AnswerBytes int               `cbor:"6,keyasint"`
	Running     map[string]bool   `cbor:"7,keyasint"`
	// Queued is the number of requests in state queued.
	Queued int `cbor:"8,keyasint"`
	// AnswersDropped is the number of requests at the head of Ended whose
	// answers were dropped.
	AnswersDropped int `cbor:"9,keyasint"`
}

func newBatchTable() batchTable {
	return batchTable{Jobs: map[string]batch.Job{}, ByKey: map[string]string{}, Running: map[string]bool{}, Queues: map[string][]string{}}
}

// applyAcceptBatch stores a batch request. A request with a known ID, or with
// a known key and the same content, is answered with the ID of the stored
// request.
func applyAcceptBatch(m *Machine, pos position, request batch.Request) Result {
	now := m.advanceClock(pos)
	t := &m.data.Batch
	m.purgeBatch(now)
	if known, ok := t.Jobs[request.ID]; ok {
		return okResult(known.ID)
	}
	if result, answered := t.answerRepeated(request); answered {
		return result
	}
	if _, claimed := m.data.Claims.Held[request.Key]; claimed {
		return refuse(Conflict, "the key was used for a request that is not a batch request")
	}
	if reason := m.batchKeyExpiryReason(request, now); reason != "" {
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

// answerRepeated returns the answer to a request whose key is known, and false
// if it is not known.
func (t *batchTable) answerRepeated(request batch.Request) (Result, bool) {
	id, known := t.ByKey[request.Key]
	if request.Key == "" || !known {
		return Result{}, false
	}
	if !bytes.Equal(t.Jobs[id].Digest, request.Digest) {
		return refuse(Conflict, "the key was used with other content"), true
	}
	return okResult(id), true
}

// batchKeyExpiryReason returns why a request with an unknown key must not run,
// or "".
func (m *Machine) batchKeyExpiryReason(request batch.Request, now int64) string {
	if request.Key == "" {
		return ""
	}
	return m.data.Claims.expiryReason(ClaimCommand{Key: request.Key, KeyTimeMS: request.KeyTimeMS}, now)
}

func (t *batchTable) enqueue(service, id string) {
	t.Queues[service] = append(t.Queues[service], id)
	t.Queued++
}

// purgeBatch removes ended requests that are past their retention, and the
// oldest ones above maxEndedBatch that have no key.
func (m *Machine) purgeBatch(now int64) {
	t := &m.data.Batch
	for len(t.Ended) > 0 {
		job := t.Jobs[t.Ended[0]]
		excess := len(t.Ended) > maxEndedBatch && job.Key == ""
		if !excess && max(job.EndedMS, job.KeyTimeMS)+batch.Retention.Milliseconds() > now {
			return
		}
		t.removeOldestEnded(job)
		if job.Key != "" && job.KeyTimeMS == 0 {
			m.data.Claims.retireKey(job.Key, now)
		}
	}
}

// removeOldestEnded removes the ended request at the head of Ended.
func (t *batchTable) removeOldestEnded(job batch.Job) {
	t.Ended = t.Ended[1:]
	t.AnswersDropped = max(0, t.AnswersDropped-1)
	if job.Answer != nil {
		t.AnswerBytes -= job.Answer.Size()
	}
	delete(t.ByKey, job.Key)
	delete(t.Jobs, job.ID)
}

// endBatch moves a request to a final state and drops its body.
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
	t.enforceAnswerBound()
}

// enforceAnswerBound drops the oldest answers while their total size exceeds
// maxBatchAnswers.
func (t *batchTable) enforceAnswerBound() {
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

// requeueBatch queues a request again with a backoff. It ends the request
// instead if it is being cancelled or is too old.
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

// endLostAttempt ends an attempt that may have started and whose outcome is
// not known. A request that is not idempotent ends as unknown, since it must
// not run twice.
func (m *Machine) endLostAttempt(job batch.Job, reason string) {
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

// answerBatchClaim returns the answer to a claim of a key that belongs to a
// batch request.
func answerBatchClaim(job batch.Job) ClaimAnswer {
	switch {
	case job.State == batch.Done && job.Answer != nil:
		return ClaimAnswer{State: claim.Finished, Answer: job.Answer}
	case job.State == batch.Queued || job.State == batch.Running:
		return ClaimAnswer{State: claim.InProgress, Reason: "the key names batch request " + job.ID}
	}
	return ClaimAnswer{State: claim.Unknown, Reason: "the key names batch request " + job.ID + ", which is " + string(job.State)}
}

// runningSorted returns the IDs of the running requests, sorted.
func (t *batchTable) runningSorted() []string {
	ids := make([]string, 0, len(t.Running))
	for id := range t.Running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
