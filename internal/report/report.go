// Package report makes the disclosure for a span of time from the events
// of all processes: every refusal, every interruption and the margin of
// every budget with its cause, and what could not be collected. It is a
// pure function of its input.
package report

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Input is what a report is made from.
type Input struct {
	// From and To bound the span; To is not included.
	From, To time.Time
	// Collected is when the events were collected.
	Collected time.Time
	// Version is the newest accepted version, Document its content; nil if
	// it could not be had.
	Version  uint64
	Document *fleet.Document
	// VMs is the ownership at the time of collection.
	VMs []view.VM
	// Pages holds the events of each process that answered, also those
	// before From, which tell the state at From.
	Pages       []timeline.Page
	Unreachable []Unreachable
}

// Unreachable is a process whose events could not be collected.
type Unreachable struct {
	Process string `json:"process"`
	Address string `json:"address"`
	Reason  string `json:"reason"`
}

// Report is the disclosure for a span of time.
type Report struct {
	From       time.Time `json:"from"`
	To         time.Time `json:"to"`
	Collected  time.Time `json:"collected"`
	Deployment string    `json:"deployment"`
	Version    uint64    `json:"version"`
	// Complete says that no process was unreachable and no gap is known.
	Complete    bool          `json:"complete"`
	Unreachable []Unreachable `json:"unreachable"`
	// Gaps are times for which a process answered but no longer holds its events.
	Gaps    []Gap    `json:"gaps"`
	Sources []Source `json:"sources"`
	// Refusals groups RefusedRequests by service and reason.
	Refusals        []RefusalGroup `json:"refusals"`
	RefusedRequests []RequestEvent `json:"refused_requests"`
	// UnknownRequests may have run.
	UnknownRequests []RequestEvent  `json:"unknown_requests"`
	RefusedVersions []RefusedChange `json:"refused_versions"`
	Interruptions   []Interruption  `json:"interruptions"`
	Pools           []PoolMargin    `json:"pools"`
}

// Source is a process that gave its events.
type Source struct {
	Process string `json:"process"`
	// Events is the number of its events in the span.
	Events int `json:"events"`
	// Dropped counts the events that it no longer holds, of any time.
	Dropped uint64 `json:"dropped"`
}

// Gap is a part of the span for which a process has no events.
type Gap struct {
	Process string `json:"process"`
	// Until is the end of the gap; it begins with the span or before.
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

// RefusalGroup counts refusals of one service for one reason.
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

// Build makes the report.
func Build(in Input) Report {
	events := timeline.Merge(in.Pages)
	span := timeline.Filter{From: in.From, To: in.To}
	r := Report{From: in.From, To: in.To, Collected: in.Collected, Version: in.Version,
		Unreachable: orEmpty(in.Unreachable), Gaps: []Gap{}, Sources: []Source{}}
	if in.Document != nil {
		r.Deployment = in.Document.Deployment
	}
	for _, page := range in.Pages {
		r.Sources = append(r.Sources, sourceOf(page, span))
		r.Gaps = append(r.Gaps, gapsOf(page, in.From, in.To)...)
	}
	r.Complete = len(r.Unreachable) == 0 && len(r.Gaps) == 0
	r.addRequests(events, span)
	r.Interruptions = findInterruptions(events, in.From, in.To)
	r.Pools = poolMargins(in, events)
	return r
}

func orEmpty[T any](values []T) []T {
	if values == nil {
		return []T{}
	}
	return values
}

func sourceOf(page timeline.Page, span timeline.Filter) Source {
	source := Source{Process: page.Process, Dropped: page.Dropped}
	for _, event := range page.Events {
		if span.Matches(event) {
			source.Events++
		}
	}
	return source
}

// gapsOf finds the parts of the span that a process can't tell of: before
// its start, since events are kept in memory, and what it dropped.
func gapsOf(page timeline.Page, from, to time.Time) []Gap {
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

// knownSince returns the time from which on at least one process tells of
// the fleet.
func knownSince(pages []timeline.Page, from, to time.Time) time.Time {
	since := to
	for _, page := range pages {
		begins := from
		for _, gap := range gapsOf(page, from, to) {
			if gap.Until.After(begins) {
				begins = gap.Until
			}
		}
		since = earlier(since, begins)
	}
	return since.UTC()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// addRequests lists what was refused and what has an unknown outcome.
func (r *Report) addRequests(events []timeline.Event, span timeline.Filter) {
	r.RefusedRequests, r.UnknownRequests, r.RefusedVersions = []RequestEvent{}, []RequestEvent{}, []RefusedChange{}
	for _, event := range events {
		if !span.Matches(event) {
			continue
		}
		switch event.Kind {
		case timeline.RequestRefused:
			r.RefusedRequests = append(r.RefusedRequests, requestEvent(event))
		case timeline.RequestUnknown:
			r.UnknownRequests = append(r.UnknownRequests, requestEvent(event))
		case timeline.VersionRefused:
			r.RefusedVersions = append(r.RefusedVersions, RefusedChange{At: event.Time().UTC(), Reason: event.Cause})
		}
	}
	r.Refusals = groupRefusals(r.RefusedRequests)
}

func requestEvent(e timeline.Event) RequestEvent {
	return RequestEvent{At: e.Time().UTC(), Request: e.Request, Service: e.Service, VM: e.VM, Process: e.Process, Reason: e.Cause}
}

// groupRefusals counts refusals in the order of their first occurrence.
func groupRefusals(refused []RequestEvent) []RefusalGroup {
	type key struct{ service, reason string }
	places := map[key]int{}
	groups := []RefusalGroup{}
	for _, request := range refused {
		k := key{request.Service, request.Reason}
		place, known := places[k]
		if !known {
			place = len(groups)
			places[k] = place
			groups = append(groups, RefusalGroup{Service: request.Service, Reason: request.Reason, First: request.At})
		}
		groups[place].Count++
		groups[place].Last = request.At
	}
	return groups
}
