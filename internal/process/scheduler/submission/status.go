package submission

import (
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
	case workstate.OtherJob:
		return workcall.Invalid
	}
	return workcall.UnknownJob
}
