package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// start is the start of the span in these tests.
var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// at returns the event as recorded by the process, some seconds after start.
func at(seconds int, process string, event timeline.Event) timeline.Event {
	event.Process = process
	event.Stamp.WallUS = start.Add(time.Duration(seconds) * time.Second).UnixMicro()
	event.Sequence = 100
	return event
}

// input returns the input for one pool with two VMs and one service, whose events
// were all collected from process e1.
func input(events ...timeline.Event) Input {
	return Input{
		From: start, To: start.Add(time.Minute), Version: 3,
		Document: &fleet.Document{Deployment: "d", Pools: []fleet.Pool{{Name: "p"}},
			Services: []fleet.Service{{Name: "s", Pool: "p", Budget: fleet.Budget{PromisedSlots: 10}}}},
		VMs:   []view.VM{{Name: "v1", Pool: "p", Slots: 8, Phase: view.Serving}, {Name: "v2", Pool: "p", Slots: 8, Phase: view.Serving}},
		Pages: []timeline.Page{{Process: "e1", Events: events}},
	}
}

func TestLostTargetIsAnInterruptionAndTheCauseOfTheLowestMargin(t *testing.T) {
	r := Build(input(
		at(10, "e1", timeline.Event{Kind: timeline.TargetLost, VM: "v1", Cause: "lease ended"}),
		at(11, "e2", timeline.Event{Kind: timeline.TargetLost, VM: "v1", Cause: "lease ended"}),
		at(20, "e1", timeline.Event{Kind: timeline.TargetJoined, VM: "v1"}),
	))
	if len(r.Interruptions) != 1 || r.Interruptions[0].Subject != "v1" || len(r.Interruptions[0].SeenBy) != 2 {
		t.Fatalf("interruptions %+v", r.Interruptions)
	}
	if end := r.Interruptions[0].To; end == nil || !end.Equal(start.Add(20*time.Second)) {
		t.Errorf("ended at %v", end)
	}
	pool := r.Pools[0]
	if pool.Lowest != -2 || len(pool.Causes) != 1 || !strings.Contains(pool.Causes[0], "v1: target-lost") {
		t.Errorf("pool %+v", pool)
	}
	if len(pool.Capacity) != 3 || pool.Capacity[2].Value != 16 {
		t.Errorf("capacity %+v", pool.Capacity)
	}
}

func TestTargetEventsDuringAnOrderedDrainDoNotCount(t *testing.T) {
	r := Build(input(
		at(1, "c", timeline.Event{Kind: timeline.VMDraining, VM: "v1"}),
		at(2, "e1", timeline.Event{Kind: timeline.TargetLost, VM: "v1"}),
		at(3, "e1", timeline.Event{Kind: timeline.TargetJoined, VM: "v1"}),
		at(9, "c", timeline.Event{Kind: timeline.VMBack, VM: "v1"}),
	))
	if len(r.Interruptions) > 0 {
		t.Errorf("an ordered reboot counts as an interruption: %+v", r.Interruptions)
	}
	capacity := r.Pools[0].Capacity
	if len(capacity) != 3 || capacity[1].Value != 8 || !capacity[2].At.Equal(start.Add(9*time.Second)) {
		t.Errorf("capacity %+v", capacity)
	}
}

func TestEventsBeforeTheSpanDetermineTheStateAtItsStart(t *testing.T) {
	r := Build(input(at(-10, "e1", timeline.Event{Kind: timeline.TargetLost, VM: "v2"})))
	if len(r.Interruptions) != 1 || r.Interruptions[0].To != nil {
		t.Errorf("interruptions %+v", r.Interruptions)
	}
	if r.Pools[0].Capacity[0].Value != 8 || !r.Pools[0].LowestAt.Equal(start) {
		t.Errorf("pool %+v", r.Pools[0])
	}
}

func TestKilledLeaderIsAnInterruptionAtTheNextElection(t *testing.T) {
	r := Build(input(
		at(1, "c1", timeline.Event{Kind: timeline.LeaderElected}),
		at(30, "c2", timeline.Event{Kind: timeline.LeaderElected}),
	))
	if len(r.Interruptions) != 1 || !strings.Contains(r.Interruptions[0].Cause, "c1") {
		t.Errorf("interruptions %+v", r.Interruptions)
	}
}

func TestLostLeaderWithoutEventsIsAnInterruptionAtTheNextElection(t *testing.T) {
	r := Build(input(
		at(1, "e1", timeline.Event{Kind: timeline.VersionInForce, Version: 1}),
		at(30, "c2", timeline.Event{Kind: timeline.LeaderElected}),
	))
	if len(r.Interruptions) != 1 || !strings.Contains(r.Interruptions[0].Cause, "gave no events") {
		t.Errorf("interruptions %+v", r.Interruptions)
	}
	if first := Build(input(at(1, "c1", timeline.Event{Kind: timeline.LeaderElected}))); len(first.Interruptions) > 0 {
		t.Errorf("the first election of a deployment counts as an interruption: %+v", first.Interruptions)
	}
}

func TestReportListsUnreachableProcessesAndGaps(t *testing.T) {
	in := input(timeline.Event{Kind: timeline.ProcessStarted, Sequence: 1, Stamp: timeline.Stamp{WallUS: start.Add(time.Second).UnixMicro()}})
	in.Unreachable = []Unreachable{{Process: "e9", Address: "127.0.0.1:9", Reason: "refused"}}
	in.Pages = append(in.Pages, timeline.Page{Process: "e3", Dropped: 5, DroppedNotable: 2,
		NotableLost: timeline.Stamp{WallUS: start.Add(2 * time.Second).UnixMicro()}})
	r := Build(in)
	if r.Complete || len(r.Gaps) != 2 || len(r.Unreachable) != 1 {
		t.Errorf("complete %v, gaps %+v", r.Complete, r.Gaps)
	}
	if since := r.Pools[0].KnownSince; !since.Equal(start.Add(time.Second)) || !r.Pools[0].Capacity[0].At.Equal(since) {
		t.Errorf("known since %s, capacity %+v", since, r.Pools[0].Capacity)
	}
	if Build(input()).Complete != true {
		t.Error("a report without gaps is not complete")
	}
}

func TestRefusalsAreGroupedAndListedInEveryForm(t *testing.T) {
	r := Build(input(
		at(1, "e1", timeline.Event{Kind: timeline.RequestRefused, Request: "r1", Service: "s", Cause: "<no room>"}),
		at(2, "e1", timeline.Event{Kind: timeline.RequestRefused, Request: "r2", Service: "s", Cause: "<no room>"}),
		at(3, "e1", timeline.Event{Kind: timeline.RequestUnknown, Request: "r3", Service: "s", VM: "v1", Cause: "timeout"}),
		at(70, "e1", timeline.Event{Kind: timeline.RequestRefused, Request: "after"}),
	))
	if len(r.Refusals) != 1 || r.Refusals[0].Count != 2 || len(r.UnknownRequests) != 1 {
		t.Fatalf("refusals %+v, unknown %+v", r.Refusals, r.UnknownRequests)
	}
	var page, text bytes.Buffer
	if err := r.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	if err := r.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, expected := range []string{"r1", "r2", "r3"} {
		if !strings.Contains(page.String(), expected) || !strings.Contains(text.String(), expected) {
			t.Errorf("%s is not listed", expected)
		}
	}
	if strings.Contains(page.String(), "<no room>") || strings.Contains(page.String(), "after") {
		t.Error("the page holds unescaped text or an event outside the span")
	}
}
