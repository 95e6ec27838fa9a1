package timeline

import (
	"testing"
	"time"
)

func TestLoadDoesNotPushOutNotableEvents(t *testing.T) {
	recorder := NewRecorder("entry", "za")
	recorder.Record(Event{Kind: LeaderLost})
	for range Capacity + 10 {
		recorder.Record(Event{Kind: RequestRan})
	}
	page := recorder.Since(0)
	if len(page.Events) != Capacity+1 || page.Events[0].Kind != LeaderLost {
		t.Errorf("%d events kept, first %s", len(page.Events), page.Events[0].Kind)
	}
	if page.Dropped != 10 || page.DroppedNotable != 0 {
		t.Errorf("dropped %d, notable %d", page.Dropped, page.DroppedNotable)
	}
}

func TestMergeOrdersAnAnswerAfterItsCauseDespiteAClockBehind(t *testing.T) {
	cause, effect := NewRecorder("z-cause", ""), NewRecorder("a-effect", "")
	cause.clock.WallUS = time.Now().Add(time.Hour).UnixMicro()
	cause.Record(Event{Kind: VersionAccepted})
	effect.Observe(cause.Now())
	effect.Record(Event{Kind: VersionInForce})
	events := Merge([]Page{effect.Since(0), cause.Since(0)})
	if events[0].Kind != VersionAccepted || events[1].Kind != VersionInForce {
		t.Errorf("order %s, %s", events[0].Kind, events[1].Kind)
	}
}

func TestFilterSurvivesItsQuery(t *testing.T) {
	filter := Filter{Request: "r", VM: "v", Service: "s", Wave: "w", Kind: VMLost, Version: 3,
		From: time.UnixMicro(1).UTC(), To: time.UnixMicro(9).UTC()}
	parsed, err := ParseFilter(filter.Query())
	if err != nil || parsed != filter {
		t.Errorf("parsed %+v, %v", parsed, err)
	}
	event := Event{Request: "r", VM: "v", Service: "s", Wave: "w", Kind: VMLost, Version: 3, Stamp: Stamp{WallUS: 8}}
	if !filter.Matches(event) {
		t.Error("the filter should pick the event")
	}
	event.Stamp.WallUS = 9
	if filter.Matches(event) {
		t.Error("the end of the span is not included")
	}
}
