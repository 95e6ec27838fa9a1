// Package report builds the disclosure report for a span of time from the events of
// all processes. The report lists every refusal, every interruption, the margin of
// every budget with its causes, and what could not be collected. It depends on
// nothing but its input.
package report

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Input is the data from which a report is built.
type Input struct {
	// From and To bound the span; To is not included.
	From, To time.Time
	// Collected is the time at which the events were collected.
	Collected time.Time
	// Version is the newest accepted version and Document its content, which is
	// nil if it could not be read.
	Version  uint64
	Document *fleet.Document
	// VMs are the VMs with their pools and phases at the time of collection.
	VMs []view.VM
	// Pages holds the events of each process that answered. Events before From
	// are included, because they determine the state at From.
	Pages       []timeline.Page
	Unreachable []Unreachable
}

// Unreachable is a process whose events could not be collected.
type Unreachable struct {
	Process string `json:"process"`
	Address string `json:"address"`
	Reason  string `json:"reason"`
}

// Report is the disclosure report for a span of time.
type Report struct {
	From       time.Time `json:"from"`
	To         time.Time `json:"to"`
	Collected  time.Time `json:"collected"`
	Deployment string    `json:"deployment"`
	Version    uint64    `json:"version"`
	// Complete is true if no process was unreachable and no gap is known.
	Complete    bool          `json:"complete"`
	Unreachable []Unreachable `json:"unreachable"`
	// Gaps are spans of time for which a process that answered no longer holds
	// its events.
	Gaps    []Gap    `json:"gaps"`
	Sources []Source `json:"sources"`
	// Refusals groups RefusedRequests by service and reason.
	Refusals        []RefusalGroup `json:"refusals"`
	RefusedRequests []RequestEvent `json:"refused_requests"`
	// UnknownRequests are requests with an unknown outcome, which may have run.
	UnknownRequests []RequestEvent  `json:"unknown_requests"`
	RefusedVersions []RefusedChange `json:"refused_versions"`
	Interruptions   []Interruption  `json:"interruptions"`
	Pools           []PoolMargin    `json:"pools"`
}

// Source is a process whose events were collected.
type Source struct {
	Process string `json:"process"`
	// Events is the number of the process's events in the span.
	Events int `json:"events"`
	// Dropped is the number of events of any time that the process no longer
	// holds.
	Dropped uint64 `json:"dropped"`
}

// Gap is a part of the span for which a process has no events.
type Gap struct {
	Process string `json:"process"`
	// Until is the end of the gap, which begins at or before the start of the
	// span.
	Until  time.Time `json:"until"`
	Reason string    `json:"reason"`
}

// RequestEvent is a request that was refused or whose outcome is unknown.
type RequestEvent struct {
	At      time.Time `json:"at"`
	Request string    `json:"request"`
	Service string    `json:"service"`
	VM      string    `json:"vm,omitempty"`
	Process string    `json:"process"`
	Reason  string    `json:"reason"`
}

// RefusalGroup is the number of refusals of one service for one reason.
type RefusalGroup struct {
	Service string    `json:"service"`
	Reason  string    `json:"reason"`
	Count   int       `json:"count"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
}

// RefusedChange is a document that was not accepted.
type RefusedChange struct {
	At     time.Time `json:"at"`
	Reason string    `json:"reason"`
}

// Build returns the report for the input.
func Build(in Input) Report {
	events := timeline.Merge(in.Pages)
	span := timeline.Filter{From: in.From, To: in.To}
	r := Report{From: in.From, To: in.To, Collected: in.Collected, Version: in.Version,
		Unreachable: nonNil(in.Unreachable), Gaps: []Gap{}, Sources: []Source{}}
	if in.Document != nil {
		r.Deployment = in.Document.Deployment
	}
	for _, page := range in.Pages {
		r.Sources = append(r.Sources, newSource(page, span))
		r.Gaps = append(r.Gaps, findGaps(page, in.From, in.To)...)
	}
	r.Complete = len(r.Unreachable) == 0 && len(r.Gaps) == 0
	r.addRequests(events, span)
	r.Interruptions = findInterruptions(events, in.From, in.To)
	r.Pools = poolMargins(in, events)
	return r
}

// nonNil returns an empty slice in place of nil, so that JSON has a list instead of
// null.
func nonNil[T any](values []T) []T {
	if values == nil {
		return []T{}
	}
	return values
}

// newSource counts the page's events that lie in the span.
func newSource(page timeline.Page, span timeline.Filter) Source {
	source := Source{Process: page.Process, Dropped: page.Dropped}
	for _, event := range page.Events {
		if span.Matches(event) {
			source.Events++
		}
	}
	return source
}

// findGaps returns the parts of the span for which a process has no events: the
// time before its start, since processes keep events in memory only, and the time
// up to the newest notable event that it dropped.
func findGaps(page timeline.Page, from, to time.Time) []Gap {
	var gaps []Gap
	lost := time.UnixMicro(page.NotableLost.WallUS).UTC()
	if page.DroppedNotable > 0 && !lost.Before(from) {
		gaps = append(gaps, Gap{Process: page.Process, Until: lost, Reason: "older events were dropped"})
	}
	for _, event := range page.Events {
		if event.Sequence == 1 && event.Time().After(from) {
			gaps = append(gaps, Gap{Process: page.Process, Until: earlier(event.Time(), to).UTC(), Reason: "the process started then; events of an earlier run are not kept"})
		}
	}
	return gaps
}

// knownSince returns the earliest time of the span from which on at least one
// process holds its events.
func knownSince(pages []timeline.Page, from, to time.Time) time.Time {
	since := to
	for _, page := range pages {
		start := from
		for _, gap := range findGaps(page, from, to) {
			if gap.Until.After(start) {
				start = gap.Until
			}
		}
		since = earlier(since, start)
	}
	return since.UTC()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// addRequests adds the refused requests, the requests with an unknown outcome and
// the refused documents of the span.
func (r *Report) addRequests(events []timeline.Event, span timeline.Filter) {
	r.RefusedRequests, r.UnknownRequests, r.RefusedVersions = []RequestEvent{}, []RequestEvent{}, []RefusedChange{}
	for _, event := range events {
		if !span.Matches(event) {
			continue
		}
		switch event.Kind {
		case timeline.RequestRefused:
			r.RefusedRequests = append(r.RefusedRequests, newRequestEvent(event))
		case timeline.RequestUnknown:
			r.UnknownRequests = append(r.UnknownRequests, newRequestEvent(event))
		case timeline.VersionRefused:
			r.RefusedVersions = append(r.RefusedVersions, RefusedChange{At: event.Time().UTC(), Reason: event.Cause})
		}
	}
	r.Refusals = groupRefusals(r.RefusedRequests)
}

func newRequestEvent(e timeline.Event) RequestEvent {
	return RequestEvent{At: e.Time().UTC(), Request: e.Request, Service: e.Service, VM: e.VM, Process: e.Process, Reason: e.Cause}
}

// groupRefusals counts the refusals by service and reason, in the order of first
// occurrence.
func groupRefusals(refused []RequestEvent) []RefusalGroup {
	type key struct{ service, reason string }
	indexes := map[key]int{}
	groups := []RefusalGroup{}
	for _, request := range refused {
		k := key{request.Service, request.Reason}
		index, known := indexes[k]
		if !known {
			index = len(groups)
			indexes[k] = index
			groups = append(groups, RefusalGroup{Service: request.Service, Reason: request.Reason, First: request.At})
		}
		groups[index].Count++
		groups[index].Last = request.At
	}
	return groups
}
