package scheduler

import (
	"context"
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/access"
)

// deniedCalls counts the calls that the leader refused since their key does not allow
// them, by reason.
var deniedCalls = map[access.Reason]*metrics.Counter{
	access.UnknownKey:   metrics.NewCounter(`arbutus_access_refused_total{reason="unknown_key"}`),
	access.KeyMissing:   metrics.NewCounter(`arbutus_access_refused_total{reason="key_missing"}`),
	access.OtherAccount: metrics.NewCounter(`arbutus_access_refused_total{reason="other_account"}`),
}

// checkAccess refuses a submission that its key does not allow. A location without a
// queue is left to examine.
func (d *submission) checkAccess(v *workstate.View, r *workcall.SubmitRequest) {
	d.accessControl = v.Access().On()
	if !d.accessControl {
		return
	}
	decision := v.Access().Queue(r.Host, r.Path, r.Key)
	switch {
	case d.known:
		d.denied = v.RepetitionAccess(d.id, r.Key)
	case decision.Reason != access.UnknownQueue:
		d.denied = decision.Reason
	}
	if account := decision.Account; account != nil {
		d.account, d.overRate = account.Name, v.ExceedsRate(account)
	}
	if d.denied != access.Allowed {
		d.refusal = workcall.SubmitResponse{Status: statusOfReason(d.denied), Reason: d.denied.String()}
	}
}

// needsBarrier reports whether the answer must come from a state that includes all that
// was committed before the call. A process that lags behind would refuse by an older
// configuration, or a job that it does not know yet, and would accept a key that was
// taken away.
func (d *submission) needsBarrier() bool { return d.refused() || d.known && d.accessControl }

// barrierFault returns the fault of a submission whose barrier has failed. A caller is
// not told of a known job that it has not run.
func (d *submission) barrierFault(err error) error {
	var fault *link.Fault
	if d.known && errors.As(err, &fault) && fault.Code == workcall.CodeUnavailable {
		return &link.Fault{Code: workcall.CodeUnknown, Message: fault.Message}
	}
	return err
}

// denied tells whether a call for a job is refused for its key. A refusal is confirmed
// by a state that includes all that was committed before the call; a call that is
// allowed here is checked again when its command is applied.
func (s *Server) denied(ctx context.Context, r workcall.JobRequest) (reason access.Reason, err error) {
	look := func(v *workstate.View) { reason = v.JobAccess(r.Host, r.Path, jobIDOf(r.Location), r.Key) }
	s.machine.Read(look)
	if reason != access.Allowed {
		err = s.read(ctx, look)
	}
	return reason, err
}

// logDenied logs and counts a call that is refused for its key.
func (s *Server) logDenied(location workcall.Location, reason access.Reason) {
	counter := deniedCalls[reason]
	if counter == nil {
		return
	}
	counter.Inc()
	s.log.Info("call refused", "host", location.Host, "path", location.Path, "reason", reason.String())
}

// statusOfReason returns the status of a call with a decision about access.
func statusOfReason(reason access.Reason) workcall.Status {
	switch reason {
	case access.Allowed:
		return workcall.OK
	case access.UnknownQueue:
		return workcall.UnknownQueue
	case access.OtherAccount:
		return workcall.Forbidden
	}
	return workcall.Unauthorized
}

// statusOf returns the status of a submission or a cancellation with the result of its
// command.
func statusOf(code workstate.Code) workcall.Status {
	switch code {
	case workstate.OK:
		return workcall.OK
	case workstate.UnknownQueue:
		return workcall.UnknownQueue
	case workstate.Unauthorized:
		return workcall.Unauthorized
	case workstate.Forbidden:
		return workcall.Forbidden
	case workstate.OtherJob:
		return workcall.Invalid
	}
	return workcall.UnknownJob
}

// Accounts returns the keys that are known.
func (s *Server) Accounts(ctx context.Context, r workcall.AccountsRequest) (workcall.AccountsResponse, error) {
	var response workcall.AccountsResponse
	err := s.read(ctx, func(v *workstate.View) {
		c := v.Catalog()
		response = workcall.AccountsResponse{Version: c.Version, AccessControl: c.AccessControl}
		if c.Version == r.Known {
			return
		}
		for i := range c.Accounts {
			response.Keys = append(response.Keys, c.Accounts[i].Keys...)
		}
	})
	return response, err
}
