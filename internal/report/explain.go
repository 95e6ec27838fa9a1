package report

import (
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Explanation tells what became of one request.
type Explanation struct {
	Request string `json:"request"`
	// Outcome is "ran", "not-run", "unknown", or "not found" if no process
	// holds a final event of the request.
	Outcome string `json:"outcome"`
	Service string `json:"service"`
	// Target is the VM that it was sent to last.
	Target string `json:"target,omitempty"`
	// Process is the entry that answered, Version what was in force there.
	Process string `json:"process,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// NotFound is the outcome of a request that no process tells of.
const NotFound = "not found"

// outcomes maps the kinds of final events.
var outcomes = map[timeline.Kind]string{
	timeline.RequestRan:     "ran",
	timeline.RequestRefused: "not-run",
	timeline.RequestUnknown: "unknown",
}

// Explain goes through merged events: all of the request, and the
// VersionInForce events, which tell the version at its time.
func Explain(request string, events []timeline.Event) Explanation {
	e := Explanation{Request: request, Outcome: NotFound}
	versions := map[string]uint64{}
	for _, event := range events {
		if event.Kind == timeline.VersionInForce {
			versions[event.Process] = event.Version
		}
		if event.Request != request {
			continue
		}
		e.note(event, versions[event.Process])
	}
	return e
}

func (e *Explanation) note(event timeline.Event, inForce uint64) {
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
