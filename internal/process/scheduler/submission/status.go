package submission

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/access"
)

// StatusOfReason returns the status of a call with a decision about access.
func StatusOfReason(reason access.Reason) workcall.Status {
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

// StatusOf returns the status of a submission or a cancellation with the result of its
// command.
func StatusOf(code workstate.Code) workcall.Status {
	switch code {
	case workstate.OK:
		return workcall.OK
	case workstate.UnknownQueue:
		return workcall.UnknownQueue
	case workstate.Unauthorized:
		return workcall.Unauthorized
	case workstate.Forbidden:
		return workcall.Forbidden
	}
	return workcall.UnknownJob
}

// ResponseTo returns the answer to a submission with the result of its command.
func ResponseTo(result workstate.Result) workcall.SubmitResponse {
	if result.Code == workstate.OtherJob {
		return idInUse()
	}
	return workcall.SubmitResponse{Status: StatusOf(result.Code), Known: result.Repeated}
}

// idRetryAfter is the time after which a job may be submitted again whose id is in use.
const idRetryAfter = time.Minute

// idInUse refuses a job whose id a job at another location has, until that is purged.
// Workers know a task by the id without its queue. The reason does not say whose job it is.
func idInUse() workcall.SubmitResponse {
	return workcall.SubmitResponse{
		Status: workcall.Overloaded, RetryAfterMS: idRetryAfter.Milliseconds(),
		Reason: "the id can't be used at present, another one can",
	}
}
