package report

import (
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Interruption is a time in which something did not serve as it should.
type Interruption struct {
	Kind timeline.Kind `json:"kind"`
	// Subject names the VM, wave, service or process that it is about.
	Subject string    `json:"subject"`
	From    time.Time `json:"from"`
	// To is the end; nil if no end was seen.
	To *time.Time `json:"to"`
	// SeenBy lists the processes that recorded it.
	SeenBy []string `json:"seen_by"`
	Cause  string   `json:"cause"`
}

// leaderSubject is the subject of a lost leadership.
const leaderSubject = "control leader"

// rule says how one kind of interruption begins and ends.
type rule struct {
	ends    []timeline.Kind
	subject func(timeline.Event) string
	// momentary interruptions end as they begin.
	momentary bool
}

func vmOf(e timeline.Event) string   { return e.VM }
func waveOf(e timeline.Event) string { return e.Wave }

// rules maps the kinds of events that begin an interruption.
var rules = map[timeline.Kind]rule{
	timeline.LeaderLost:        {ends: []timeline.Kind{timeline.LeaderElected}, subject: func(timeline.Event) string { return leaderSubject }},
	timeline.VMLost:            {ends: []timeline.Kind{timeline.VMBack}, subject: vmOf},
	timeline.TargetLost:        {ends: []timeline.Kind{timeline.TargetJoined, timeline.TargetRestored}, subject: vmOf},
	timeline.TargetEjected:     {ends: []timeline.Kind{timeline.TargetRestored, timeline.TargetJoined}, subject: vmOf},
	timeline.WorkerQuarantined: {ends: []timeline.Kind{timeline.VMBack}, subject: vmOf},
	timeline.WaveHalted:        {ends: []timeline.Kind{timeline.WaveStarted, timeline.WaveEnded}, subject: waveOf},
	timeline.BudgetBreached:    {subject: budgetSubject, momentary: true},
}

func budgetSubject(e timeline.Event) string {
	if e.Service != "" {
		return e.Service
	}
	return e.Pool
}

// findInterruptions pairs beginnings with ends and keeps what overlaps the span.
func findInterruptions(events []timeline.Event, from, to time.Time) []Interruption {
	t := &tracker{open: map[openKey]int{}, ordered: map[string]bool{}}
	for _, event := range events {
		if event.Time().Before(to) {
			t.note(event)
		}
	}
	kept := []Interruption{}
	for _, found := range t.found {
		if found.To == nil || !found.To.Before(from) {
			kept = append(kept, found)
		}
	}
	return kept
}

type openKey struct {
	kind    timeline.Kind
	subject string
}

// tracker follows the interruptions through the events.
type tracker struct {
	found []Interruption
	// open indexes found by what has not ended yet.
	open map[openKey]int
	// leader is the process that was last elected.
	leader string
	// versions says that a version was accepted, so that there was a leader.
	versions bool
	// ordered holds the VMs that control took out on purpose. That their
	// targets fall silent is no interruption.
	ordered map[string]bool
}

func (t *tracker) note(event timeline.Event) {
	t.end(event)
	if event.Kind == timeline.VersionAccepted || event.Kind == timeline.VersionInForce {
		t.versions = true
	}
	if event.Kind == timeline.LeaderElected {
		t.noteElection(event)
	}
	t.noteOrder(event)
	begins, is := rules[event.Kind]
	planned := effects[event.Kind].layer == targetLayer && t.ordered[event.VM]
	if is && !planned {
		t.begin(event, begins)
	}
}

// noteOrder follows which VMs control has taken out on purpose.
func (t *tracker) noteOrder(event timeline.Event) {
	effect, is := effects[event.Kind]
	if !is || effect.layer != orderLayer || event.VM == "" {
		return
	}
	t.ordered[event.VM] = effect.out && event.Kind != timeline.VMLost
}

func (t *tracker) begin(event timeline.Event, begins rule) {
	key := openKey{event.Kind, begins.subject(event)}
	if place, known := t.open[key]; known {
		t.found[place].see(event.Process)
		return
	}
	interruption := Interruption{Kind: event.Kind, Subject: key.subject, From: event.Time().UTC(), SeenBy: []string{event.Process}, Cause: event.Cause}
	if begins.momentary {
		interruption.To = &interruption.From
	} else {
		t.open[key] = len(t.found)
	}
	t.found = append(t.found, interruption)
}

func (i *Interruption) see(process string) {
	if !slices.Contains(i.SeenBy, process) {
		i.SeenBy = append(i.SeenBy, process)
	}
}

// end closes every interruption that the event ends.
func (t *tracker) end(event timeline.Event) {
	for kind, begins := range rules {
		if !slices.Contains(begins.ends, event.Kind) {
			continue
		}
		key := openKey{kind, begins.subject(event)}
		if place, known := t.open[key]; known {
			at := event.Time().UTC()
			t.found[place].To = &at
			delete(t.open, key)
		}
	}
}

// noteElection records a leader that was replaced without having noted its
// end: it was killed or cut off. How long there was no leader is not known.
func (t *tracker) noteElection(event timeline.Event) {
	previous := t.leader
	t.leader = event.Process
	if previous == event.Process || previous == "" && !t.versions {
		return
	}
	before := previous + " led before and recorded no end"
	if previous == "" {
		before = "a process that gave no events led before"
	}
	at := event.Time().UTC()
	for _, found := range t.found {
		if found.Kind == timeline.LeaderLost && found.To != nil && found.To.Equal(at) {
			return
		}
	}
	t.found = append(t.found, Interruption{Kind: timeline.LeaderLost, Subject: leaderSubject, From: at, To: &at, SeenBy: []string{event.Process},
		Cause: before + "; " + event.Process + " was elected at this time"})
}
