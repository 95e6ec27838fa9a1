package state

import (
	"slices"

	"arbutusward.example/arbutusward/internal/request/batch"
	"arbutusward.example/arbutusward/internal/request/claim"
)

// applyLeaseBatch ends lost leases, renews the leases of the entry and grants
// it new ones.
func applyLeaseBatch(m *Machine, pos position, pull batch.Pull) Result {
	now := m.advanceClock(pos)
	m.data.Claims.Incarnations[pull.Entry] = pull.Incarnation
	m.purgeBatch(now)
	m.endLostLeases(now)
	answer := m.renewBatch(pull, now)
	m.grantBatch(pull, now, &answer)
	return okResult(answer)
}

// endLostLeases ends the leases that have expired and those of entries that
// have restarted or were removed.
func (m *Machine) endLostLeases(now int64) {
	for _, id := range m.data.Batch.runningSorted() {
		job := m.data.Batch.Jobs[id]
		if m.data.Claims.Incarnations[job.Entry] != job.Incarnation {
			m.endLostAttempt(job, "the entry that ran it is gone")
		} else if job.LeaseEndMS <= now {
			m.endLostAttempt(job, "the lease of the entry that ran it ended")
		}
	}
}

// renewBatch renews the leases that the entry reports. If the entry owns a
// lease that it does not report, the answer that granted the lease was lost
// and the request has not started: the lease is sent again.
func (m *Machine) renewBatch(pull batch.Pull, now int64) batch.Leases {
	var answer batch.Leases
	t := &m.data.Batch
	known := make(map[string]bool, len(pull.Held))
	for _, ref := range pull.Held {
		known[ref.ID] = true
		job := t.Jobs[ref.ID]
		if !t.Running[ref.ID] || job.Epoch != ref.Epoch {
			answer.Lost = append(answer.Lost, ref.ID)
			continue
		}
		if job.Cancelling {
			answer.Cancelling = append(answer.Cancelling, ref.ID)
		}
		job.LeaseEndMS = now + batch.LeaseTime.Milliseconds()
		t.Jobs[ref.ID] = job
	}
	for _, id := range t.runningSorted() {
		job := t.Jobs[id]
		if job.Entry == pull.Entry && !known[id] {
			job.LeaseEndMS = now + batch.LeaseTime.Milliseconds()
			t.Jobs[id] = job
			answer.Jobs = append(answer.Jobs, job)
		}
	}
	return answer
}

// grantBatch leases queued requests to the entry. It takes one request of each
// service in turn, the oldest first.
func (m *Machine) grantBatch(pull batch.Pull, now int64, answer *batch.Leases) {
	t := &m.data.Batch
	services := slices.Clone(pull.Services)
	for len(services) > 0 && len(answer.Jobs) < pull.Max {
		services = slices.DeleteFunc(services, func(service string) bool {
			if len(answer.Jobs) >= pull.Max {
				return true
			}
			job, found := t.popDue(service, now)
			if found {
				answer.Jobs = append(answer.Jobs, t.lease(job, pull, now))
			}
			return !found
		})
	}
}

// popDue removes and returns the first request in a service's queue that can
// be leased. Requests that are not due yet move to the end of the queue.
func (t *batchTable) popDue(service string, now int64) (batch.Job, bool) {
	queue := t.Queues[service]
	var waiting []string
	defer func() {
		t.Queues[service] = append(queue, waiting...)
		if len(t.Queues[service]) == 0 {
			delete(t.Queues, service)
		}
	}()
	for range min(len(queue), maxBatchScan) {
		job := t.Jobs[queue[0]]
		queue = queue[1:]
		if job.State != batch.Queued {
			continue
		}
		if job.NotBeforeMS <= now {
			return job, true
		}
		waiting = append(waiting, job.ID)
	}
	return batch.Job{}, false
}

func (t *batchTable) lease(job batch.Job, pull batch.Pull, now int64) batch.Job {
	job.State, job.Reason = batch.Running, ""
	job.Entry, job.Incarnation = pull.Entry, pull.Incarnation
	job.Attempts++
	job.Epoch++
	job.LeaseEndMS = now + batch.LeaseTime.Milliseconds()
	t.Jobs[job.ID] = job
	t.Running[job.ID] = true
	t.Queued--
	return job
}

// applyFinishBatch ends an attempt. It refuses the result of a lost lease,
// unless that replaces an unknown result by a known one.
func applyFinishBatch(m *Machine, pos position, end batch.End) Result {
	m.advanceClock(pos)
	job, known := m.data.Batch.Jobs[end.ID]
	if !known || job.Epoch != end.Epoch {
		return refuse(Conflict, "the lease is over")
	}
	if job.State == batch.Unknown && end.Ran {
		m.recordLateAnswer(job, end)
		return okResult(end.ID)
	}
	if job.State != batch.Running {
		return refuse(Conflict, "the lease is over")
	}
	m.finishBatch(job, end)
	return okResult(end.ID)
}

func (m *Machine) finishBatch(job batch.Job, end batch.End) {
	switch {
	case end.Ran:
		answer, reason := storableAnswer(end.Answer)
		m.endBatch(job, batch.Done, reason, answer)
	case end.NotRun:
		m.requeueBatch(job, end.Reason)
	default:
		m.endLostAttempt(job, end.Reason)
	}
}

// recordLateAnswer records the answer of a request that had ended as unknown.
func (m *Machine) recordLateAnswer(job batch.Job, end batch.End) {
	t := &m.data.Batch
	job.State = batch.Done
	job.Answer, job.Reason = storableAnswer(end.Answer)
	if job.Answer != nil {
		t.AnswerBytes += job.Answer.Size()
		t.AnswersDropped = 0
	}
	t.Jobs[job.ID] = job
	t.enforceAnswerBound()
}

// storableAnswer returns the answer if it is small enough to be stored,
// otherwise nil and the reason.
func storableAnswer(answer *claim.Answer) (*claim.Answer, string) {
	if answer == nil || answer.Size() > batch.MaxBodyBytes {
		return nil, "the answer is too large to be kept"
	}
	return answer, ""
}

// applyCancelBatch cancels requests. Its cost is linear in their number.
func applyCancelBatch(m *Machine, pos position, cancel batch.Cancel) Result {
	m.advanceClock(pos)
	states := make(map[string]batch.State, len(cancel.IDs))
	for _, id := range cancel.IDs {
		job, known := m.data.Batch.Jobs[id]
		if !known {
			continue
		}
		m.cancelBatchJob(job)
		states[id] = m.data.Batch.Jobs[id].State
	}
	return okResult(batch.States{States: states})
}

func (m *Machine) cancelBatchJob(job batch.Job) {
	switch job.State {
	case batch.Queued:
		m.endBatch(job, batch.Cancelled, "cancelled before it ran", nil)
	case batch.Running:
		job.Cancelling = true
		m.data.Batch.Jobs[job.ID] = job
	}
}

// BatchJob returns the batch request with the given ID.
func (m *Machine) BatchJob(id string) (batch.Job, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	job, known := m.data.Batch.Jobs[id]
	return job, known
}

// HasBatchWork reports whether a pull would change the state: a request can be
// leased, a lease is lost, or the entry has not received a lease.
func (m *Machine) HasBatchWork(pull batch.Pull, nowMS int64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if pull.Max > 0 && m.data.Batch.hasDue(pull.Services, nowMS) {
		return true
	}
	for id := range m.data.Batch.Running {
		job := m.data.Batch.Jobs[id]
		alive := m.data.Claims.Incarnations[job.Entry] == job.Incarnation
		undelivered := job.Entry == pull.Entry && !pull.HasLease(id)
		if !alive || job.LeaseEndMS <= nowMS || undelivered {
			return true
		}
	}
	return false
}

// hasDue reports whether a queued request of one of the services can be
// leased.
func (t *batchTable) hasDue(services []string, nowMS int64) bool {
	for _, service := range services {
		queue := t.Queues[service]
		for _, id := range queue[:min(len(queue), maxBatchScan)] {
			if job := t.Jobs[id]; job.State == batch.Queued && job.NotBeforeMS <= nowMS {
				return true
			}
		}
	}
	return false
}
