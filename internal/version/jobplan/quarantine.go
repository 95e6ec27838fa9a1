package jobplan

const (
	// failuresToQuarantine is the number of distinct jobs that have to fail in
	// a row on a worker before it is quarantined.
	failuresToQuarantine = 3
	// maxQuarantinedShare is the maximum share of the workers in quarantine.
	maxQuarantinedShare = 0.2
	// ProbeAfterMS is the time after which a quarantined worker is given one
	// task as a probe of its recovery, in ms.
	ProbeAfterMS = 60_000
)

// WorkerRecord is the failure record of a worker.
type WorkerRecord struct {
	// FailedJobs lists the distinct jobs that have failed in a row.
	FailedJobs []string `cbor:"1,keyasint" json:"failed_jobs"`
	// QuarantinedMS is when the worker was quarantined or last failed its
	// probe, in Unix milliseconds; 0 if it is not quarantined.
	QuarantinedMS int64 `cbor:"2,keyasint" json:"quarantined_ms"`
}

// RecordSuccess clears the record, which ends a quarantine.
func (r *WorkerRecord) RecordSuccess() { *r = WorkerRecord{} }

// RecordFailure records a failed job and reports whether the worker has become
// quarantined by it. The arguments quarantined and workers are the current
// numbers of quarantined workers and of all workers; a worker is not
// quarantined if the share of quarantined workers would exceed
// maxQuarantinedShare.
func (r *WorkerRecord) RecordFailure(job string, nowMS int64, quarantined, workers int) bool {
	r.removeFailure(job)
	r.FailedJobs = append(r.FailedJobs, job)
	if r.QuarantinedMS != 0 {
		r.QuarantinedMS = nowMS
		return false
	}
	if len(r.FailedJobs) < failuresToQuarantine {
		return false
	}
	if float64(quarantined+1) > maxQuarantinedShare*float64(workers) {
		return false
	}
	r.QuarantinedMS = nowMS
	return true
}

// ClearFailure removes a job that has failed in all of its attempts: the fault
// lies with the job, not with the worker. The worker leaves quarantine if too
// few failures remain.
func (r *WorkerRecord) ClearFailure(job string) {
	r.removeFailure(job)
	if len(r.FailedJobs) < failuresToQuarantine {
		r.QuarantinedMS = 0
	}
}

func (r *WorkerRecord) removeFailure(job string) {
	remaining := r.FailedJobs[:0:0]
	for _, failed := range r.FailedJobs {
		if failed != job {
			remaining = append(remaining, failed)
		}
	}
	r.FailedJobs = remaining
}
