package report

import (
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Interruption is a span of time in which a VM, wave, service or process did not
// work as it should.
type Interruption struct {
	Kind timeline.Kind `json:"kind"`
	// Subject names the VM, wave, service, pool or process that was interrupted.
	Subject string    `json:"subject"`
	From    time.Time `json:"from"`
	// To is the end; nil if no end was recorded.
	To *time.Time `json:"to"`
	// SeenBy lists the processes that recorded the interruption.
	SeenBy []string `json:"seen_by"`
	Cause  string   `json:"cause"`
}

// leaderSubject is the Subject of an interruption of kind LeaderLost.
const leaderSubject = "control leader"

// rule defines the subject and the end of one kind of interruption.
type rule struct {
	// ends lists the kinds of events that end the interruption.
	ends []timeline.Kind
	// subject returns the subject of an event that begins or ends it.
	subject func(timeline.Event) string
	// momentary is true if the interruption ends at the time at which it begins.
	momentary bool
}

func vmOf(e timeline.Event) string   { return e.VM }
func waveOf(e timeline.Event) string { return e.Wave }

// rules maps the kinds of events that begin an interruption to their rules.
var rules = map[timeline.Kind]rule{
	timeline.LeaderLost:        {ends: []timeline.Kind{timeline.LeaderElected}, subject: func(timeline.Event) string { return leaderSubject }},
	timeline.VMLost:            {ends: []timeline.Kind{timeline.VMBack}, subject: vmOf},
	timeline.TargetLost:        {ends: []timeline.Kind{timeline.TargetJoined, timeline.TargetRestored}, subject: vmOf},
	timeline.TargetEjected:     {ends: []timeline.Kind{timeline.TargetRestored, timeline.TargetJoined}, subject: vmOf},
	timeline.WorkerQuarantined: {ends: []timeline.Kind{timeline.VMBack}, subject: vmOf},
	timeline.WaveHalted:        {ends: []timeline.Kind{timeline.WaveStarted, timeline.WaveEnded}, subject: waveOf},
	timeline.BudgetBreached:    {subject: budgetSubject, momentary: true},
}

// budgetSubject returns the service of a breached budget, or its pool if the event
// names no service.
func budgetSubject(e timeline.Event) string {
	if e.Service != "" {
		return e.Service
	}
	return e.Pool
}

// findInterruptions pairs the events that begin interruptions with those that end
// them. It returns the interruptions that overlap the span.
func findInterruptions(events []timeline.Event, from, to time.Time) []Interruption {
	t := &tracker{open: map[openKey]int{}, outByOrder: map[string]bool{}}
	for _, event := range events {
		if event.Time().Before(to) {
			t.apply(event)
		}
	}
	kept := []Interruption{}
	for _, interruption := range t.found {
		if interruption.To == nil || !interruption.To.Before(from) {
			kept = append(kept, interruption)
		}
	}
	return kept
}

// openKey identifies an interruption that has not ended.
type openKey struct {
	kind    timeline.Kind
	subject string
}

// tracker collects the interruptions while the events are applied in order.
type tracker struct {
	found []Interruption
	// open holds the index in found of each interruption that has not ended.
	open map[openKey]int
	// leader is the process that was elected last.
	leader string
	// versionSeen is true if an event shows that a version was accepted, which
	// means that there was a leader.
	versionSeen bool
	// outByOrder holds the VMs that control has taken out of service. The loss
	// of their targets is expected and no interruption.
	outByOrder map[string]bool
}

// apply updates the interruptions with one event.
func (t *tracker) apply(event timeline.Event) {
	t.end(event)
	if event.Kind == timeline.VersionAccepted || event.Kind == timeline.VersionInForce {
		t.versionSeen = true
	}
	if event.Kind == timeline.LeaderElected {
		t.recordElection(event)
	}
	t.trackOrder(event)
	rule, begins := rules[event.Kind]
	expected := effects[event.Kind].layer == targetLayer && t.outByOrder[event.VM]
	if begins && !expected {
		t.begin(event, rule)
	}
}

// trackOrder records whether control has taken the VM of the event out of service.
// VMLost is no order, so it clears the record.
func (t *tracker) trackOrder(event timeline.Event) {
	effect, ok := effects[event.Kind]
	if !ok || effect.layer != orderLayer || event.VM == "" {
		return
	}
	t.outByOrder[event.VM] = effect.out && event.Kind != timeline.VMLost
}

// begin adds an interruption. If it is already open, begin only adds the process
// that recorded it.
func (t *tracker) begin(event timeline.Event, r rule) {
	key := openKey{event.Kind, r.subject(event)}
	if index, open := t.open[key]; open {
		t.found[index].addProcess(event.Process)
		return
	}
	interruption := Interruption{Kind: event.Kind, Subject: key.subject, From: event.Time().UTC(), SeenBy: []string{event.Process}, Cause: event.Cause}
	if r.momentary {
		interruption.To = &interruption.From
	} else {
		t.open[key] = len(t.found)
	}
	t.found = append(t.found, interruption)
}

// addProcess adds a process to SeenBy.
func (i *Interruption) addProcess(process string) {
	if !slices.Contains(i.SeenBy, process) {
		i.SeenBy = append(i.SeenBy, process)
	}
}

// end ends each open interruption that the event concludes.
func (t *tracker) end(event timeline.Event) {
	for kind, rule := range rules {
		if !slices.Contains(rule.ends, event.Kind) {
			continue
		}
		key := openKey{kind, rule.subject(event)}
		if index, open := t.open[key]; open {
			at := event.Time().UTC()
			t.found[index].To = &at
			delete(t.open, key)
		}
	}
}

// recordElection adds an interruption if the previous leader recorded no end of its
// leadership, which means that it was killed or cut off. The time without a leader
// is then unknown, so the interruption begins and ends at the election.
func (t *tracker) recordElection(event timeline.Event) {
	previous := t.leader
	t.leader = event.Process
	if previous == event.Process || previous == "" && !t.versionSeen {
		return
	}
	cause := previous + " led before and recorded no end"
	if previous == "" {
		cause = "a process that gave no events led before"
	}
	at := event.Time().UTC()
	for _, interruption := range t.found {
		if interruption.Kind == timeline.LeaderLost && interruption.To != nil && interruption.To.Equal(at) {
			return
		}
	}
	t.found = append(t.found, Interruption{Kind: timeline.LeaderLost, Subject: leaderSubject, From: at, To: &at, SeenBy: []string{event.Process},
		Cause: cause + "; " + event.Process + " was elected at this time"})
}
