package jobplan

const (
	// failuresToQuarantine is the number of distinct jobs in a row that
	// have to fail on a worker before it is quarantined.
	failuresToQuarantine = 3
	// maxQuarantinedShare caps the quarantined share of the workers.
	maxQuarantinedShare = 0.2
	// ProbeAfterMS is the time after which a quarantined worker gets one
	// task to show that it has recovered, in ms.
	ProbeAfterMS = 60_000
)

// WorkerRecord is what is remembered of a worker's tasks.
type WorkerRecord struct {
	// FailedJobs lists the distinct jobs that failed in a row.
	FailedJobs []string `cbor:"1,keyasint" json:"failed_jobs"`
	// QuarantinedMS is when the worker was quarantined or last failed its
	// probe, in Unix milliseconds; 0 if it is not quarantined.
	QuarantinedMS int64 `cbor:"2,keyasint" json:"quarantined_ms"`
}

// RecordSuccess clears a worker's record: it runs tasks.
func (r *WorkerRecord) RecordSuccess() { *r = WorkerRecord{} }

// RecordFailure records a failed job and returns whether the worker became
// quarantined. The share quarantined before bounds that.
func (r *WorkerRecord) RecordFailure(job string, nowMS int64, quarantined, workers int) bool {
	r.forget(job)
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

// ClearFailure forgets a job that failed everywhere: the job was at fault, not
// the worker. A worker is released if too few failures are left.
func (r *WorkerRecord) ClearFailure(job string) {
	r.forget(job)
	if len(r.FailedJobs) < failuresToQuarantine {
		r.QuarantinedMS = 0
	}
}

func (r *WorkerRecord) forget(job string) {
	kept := r.FailedJobs[:0:0]
	for _, failed := range r.FailedJobs {
		if failed != job {
			kept = append(kept, failed)
		}
	}
	r.FailedJobs = kept
}
