package report

import (
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Explanation is the outcome of one request as the timelines record it.
type Explanation struct {
	Request string `json:"request"`
	// Outcome is "ran", "not-run", "unknown", or "not found" if no process
	// holds a final event of the request.
	Outcome string `json:"outcome"`
	Service string `json:"service"`
	// Target is the VM that the request was last sent to.
	Target string `json:"target,omitempty"`
	// Process is the entry that answered, Version the version in force there.
	Process string `json:"process,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// NotFound is the outcome of a request of which no process holds a final event.
const NotFound = "not found"

// outcomes maps the kinds of a request's final events to its outcome.
var outcomes = map[timeline.Kind]string{
	timeline.RequestRan:     "ran",
	timeline.RequestRefused: "not-run",
	timeline.RequestUnknown: "unknown",
}

// Explain derives the outcome of a request from merged events. The events must
// hold all events of the request and the VersionInForce events, which give the
// version in force at the time of the request.
func Explain(request string, events []timeline.Event) Explanation {
	e := Explanation{Request: request, Outcome: NotFound}
	inForce := map[string]uint64{}
	for _, event := range events {
		if event.Kind == timeline.VersionInForce {
			inForce[event.Process] = event.Version
		}
		if event.Request != request {
			continue
		}
		e.apply(event, inForce[event.Process])
	}
	return e
}

// apply updates the explanation with one event of the request. inForce is the
// version in force in the process of the event, 0 if unknown.
func (e *Explanation) apply(event timeline.Event, inForce uint64) {
	if event.Service != "" {
		e.Service = event.Service
	}
	if event.VM != "" {
		e.Target = event.VM
	}
	outcome, final := outcomes[event.Kind]
	if !final {
		return
	}
	e.Outcome = outcome
	e.Process = event.Process
	e.Reason = event.Cause
	e.Version = event.Version
	if e.Version == 0 {
		e.Version = inForce
	}
}
