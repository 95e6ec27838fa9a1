package submission

import (
	"errors"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/access"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Finding is what a state says of a submission.
type Finding struct {
	ID string
	// Known is set if the job was accepted before.
	Known bool
	// Account is the account of the caller, "" without one. OverRate is set if the job
	// exceeds the account's rate.
	Account  string
	OverRate bool
	// Refusal is set if the job must be refused.
	Refusal workcall.SubmitResponse
	// Denied is why the caller's key does not allow the submission.
	Denied access.Reason
	// accessControl is set if keys are checked at all.
	accessControl bool
}

// Examine looks a submission up in a state. A job that was accepted at this location is
// known also if its route has been changed or removed since.
func Examine(v *workstate.View, r *workcall.SubmitRequest) Finding {
	queue, rest := v.Catalog().Match(r.Host, r.Path)
	f := Finding{ID: rest}
	job := v.JobAt(r.Host, r.Path)
	if job != nil {
		f.ID, f.Known = job.ID, true
	}
	switch {
	case v.Catalog().Version == 0:
		f.Refusal.Status = workcall.NotReady
	case queue == nil:
		f.Refusal.Status = workcall.UnknownQueue
	case !workload.ValidJobID(rest):
		f.Refusal = workcall.SubmitResponse{Status: workcall.Invalid, Reason: workload.InvalidJobID}
	case job == nil && v.Job(rest) != nil:
		f.Refusal = idInUse()
	}
	f.checkAccess(v, job, r)
	return f
}

// checkAccess refuses a submission that its key does not allow. A location without a
// queue is left to Examine. The job is nil unless it was accepted at this location.
func (f *Finding) checkAccess(v *workstate.View, job *workstate.Job, r *workcall.SubmitRequest) {
	f.accessControl = v.Access().On()
	if !f.accessControl {
		return
	}
	decision := v.Access().Queue(r.Host, r.Path, r.Key)
	switch {
	case job != nil:
		f.Denied = v.RepetitionAccess(job, r.Key)
	case decision.Reason != access.UnknownQueue:
		f.Denied = decision.Reason
	}
	if account := decision.Account; account != nil {
		f.Account, f.OverRate = account.Name, v.ExceedsRate(account)
	}
	if f.Denied != access.Allowed {
		f.Refusal = workcall.SubmitResponse{Status: StatusOfReason(f.Denied), Reason: f.Denied.String()}
	}
}

// Refused reports whether the submission must be refused.
func (f *Finding) Refused() bool {
	return f.Denied != access.Allowed || !f.Known && f.Refusal.Status != 0
}

// NeedsBarrier reports whether the answer must come from a state that includes all that
// was committed before the call. A process that lags behind would refuse by an older
// configuration, or a job that it does not know yet, and would accept a key that was
// taken away.
func (f *Finding) NeedsBarrier() bool { return f.Refused() || f.Known && f.accessControl }

// BarrierFault returns the fault of a submission whose barrier has failed. A caller is
// not told of a known job that it has not run.
func (f *Finding) BarrierFault(err error) error {
	var fault *link.Fault
	if f.Known && errors.As(err, &fault) && fault.Code == workcall.CodeUnavailable {
		return &link.Fault{Code: workcall.CodeUnknown, Message: fault.Message}
	}
	return err
}
