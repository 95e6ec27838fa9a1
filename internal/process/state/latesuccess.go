package state

import "arbutusward.example/arbutusward/internal/version/jobplan"

// CountsLate reports whether the success of an attempt that is no longer the
// running one still completes the job.
func (j *Job) CountsLate(epoch uint64) bool {
	if epoch == 0 || j.Succeeded || j.Phase.Final() {
		return false
	}
	return epoch < j.Epoch || epoch == j.Epoch && j.Phase == jobplan.Queued
}

// applyLateSuccess records the success of an attempt that is no longer the
// running one. A newer attempt is stopped, and the job ends once it has ended.
// It returns false if the report is ignored.
func (s *jobState) applyLateSuccess(pos position, job *Job, report TaskReport) bool {
	if report.Outcome != TaskDone || !job.CountsLate(report.Epoch) {
		return false
	}
	s.recordObservation(job, report)
	if job.Phase == jobplan.Queued {
		job.Reason = ""
		s.end(pos, job, jobplan.Done)
		return true
	}
	job.Succeeded = true
	job.Order = jobplan.Stop
	job.OrderMS = pos.atMS
	job.Reason = "an earlier attempt has succeeded"
	return true
}
