package report

import (
	"testing"

	"arbutusward.example/arbutusward/internal/process/timeline"
)

func TestExplainNamesOutcomeVersionTargetAndReason(t *testing.T) {
	events := []timeline.Event{
		at(1, "e1", timeline.Event{Kind: timeline.VersionInForce, Version: 4}),
		at(1, "e2", timeline.Event{Kind: timeline.VersionInForce, Version: 9}),
		at(2, "e1", timeline.Event{Kind: timeline.RequestRetried, Request: "r", Service: "s", VM: "v1", Cause: "connection refused"}),
		at(3, "e1", timeline.Event{Kind: timeline.RequestUnknown, Request: "r", Service: "s", VM: "v2", Cause: "timeout"}),
		at(4, "e1", timeline.Event{Kind: timeline.VersionInForce, Version: 5}),
	}
	expected := Explanation{Request: "r", Outcome: "unknown", Service: "s", Target: "v2", Process: "e1", Version: 4, Reason: "timeout"}
	if got := Explain("r", events); got != expected {
		t.Errorf("explanation %+v", got)
	}
	if got := Explain("other", events); got.Outcome != NotFound {
		t.Errorf("explanation %+v", got)
	}
}
