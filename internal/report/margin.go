package report

import (
	"fmt"
	"sort"
	"time"

	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/report/plot"
	"arbutusward.example/arbutusward/internal/version/view"
)

// PoolMargin is the capacity of a pool over the span against what its
// services are promised.
type PoolMargin struct {
	Pool     string   `json:"pool"`
	Services []string `json:"services"`
	// Promised is the sum of the slots promised to the services.
	Promised int `json:"promised"`
	// KnownSince is the time from which on at least one process tells of
	// the fleet; what was before is not known. Gaps of single processes
	// are listed in the report.
	KnownSince time.Time `json:"known_since"`
	// Capacity is the number of slots that could serve, from each time on.
	Capacity []plot.Point `json:"capacity"`
	// Lowest is the smallest margin: capacity less promise.
	Lowest   int       `json:"lowest"`
	LowestAt time.Time `json:"lowest_at"`
	// Causes says which VMs were out at LowestAt, and why.
	Causes []string `json:"causes"`
}

// layer tells why a VM is out: control's orders and the entries' sight of
// the target count apart, and the VM serves only if both let it.
type layer int

const (
	orderLayer layer = iota
	targetLayer
	layers
)

// vmState is what the events say of one VM at a moment.
type vmState struct {
	vm view.VM
	// out holds the reason for each layer, "" if it lets the VM serve.
	out [layers]string
}

func (s *vmState) serves() bool { return s.out[orderLayer] == "" && s.out[targetLayer] == "" }

// effects maps the kinds of events that take a VM out or bring it back.
var effects = map[timeline.Kind]struct {
	layer layer
	out   bool
}{
	timeline.VMDraining:     {orderLayer, true},
	timeline.VMDrained:      {orderLayer, true},
	timeline.VMRebooting:    {orderLayer, true},
	timeline.VMSettling:     {orderLayer, true},
	timeline.VMLost:         {orderLayer, true},
	timeline.MoveStarted:    {orderLayer, true},
	timeline.VMBack:         {orderLayer, false},
	timeline.MoveCommitted:  {orderLayer, false},
	timeline.TargetLost:     {targetLayer, true},
	timeline.TargetLeaving:  {targetLayer, true},
	timeline.TargetEjected:  {targetLayer, true},
	timeline.TargetJoined:   {targetLayer, false},
	timeline.TargetRestored: {targetLayer, false},
}

// poolMargins replays the events. A VM that no event speaks of serves, if
// its phase at the collection says so.
func poolMargins(in Input, events []timeline.Event) []PoolMargin {
	margins := []PoolMargin{}
	if in.Document == nil {
		return margins
	}
	replay := newReplay(in.VMs, events)
	since := knownSince(in.Pages, in.From, in.To)
	for _, pool := range in.Document.Pools {
		margin := PoolMargin{Pool: pool.Name, KnownSince: since, Services: []string{}, Capacity: []plot.Point{}, Causes: []string{}}
		for _, service := range in.Document.Services {
			if service.Pool == pool.Name {
				margin.Services = append(margin.Services, service.Name)
				margin.Promised += service.Budget.PromisedSlots
			}
		}
		margins = append(margins, margin)
	}
	replay.run(since, in.To, events, func(at time.Time) {
		for i := range margins {
			margins[i].sample(at, replay)
		}
	})
	return margins
}

// replay is the state of all VMs while the events are gone through.
type replay struct {
	vms   map[string]*vmState
	names []string
}

func newReplay(vms []view.VM, events []timeline.Event) *replay {
	r := &replay{vms: map[string]*vmState{}}
	spoken := map[string]bool{}
	for _, event := range events {
		if effect, is := effects[event.Kind]; is && effect.layer == orderLayer {
			spoken[event.VM] = true
		}
	}
	for _, vm := range vms {
		if vm.Phase == view.Retired {
			continue
		}
		state := &vmState{vm: vm}
		if vm.Phase != view.Serving && !spoken[vm.Name] {
			state.out[orderLayer] = fmt.Sprintf("phase %s at the collection, no event says since when", vm.Phase)
		}
		r.vms[vm.Name] = state
		r.names = append(r.names, vm.Name)
	}
	sort.Strings(r.names)
	return r
}

// run applies the events and calls sample at From and after each change.
func (r *replay) run(from, to time.Time, events []timeline.Event, sample func(time.Time)) {
	started := false
	for _, event := range events {
		if !event.Time().Before(to) {
			break
		}
		if !started && !event.Time().Before(from) {
			sample(from)
			started = true
		}
		if r.apply(event) && started {
			sample(event.Time().UTC())
		}
	}
	if !started {
		sample(from)
	}
}

// apply notes one event and says whether it changed anything.
func (r *replay) apply(event timeline.Event) bool {
	effect, is := effects[event.Kind]
	state := r.vms[event.VM]
	if !is || state == nil {
		return false
	}
	reason := ""
	if effect.out {
		reason = fmt.Sprintf("%s at %s, seen by %s", event.Kind, event.Time().UTC().Format(time.RFC3339), event.Process)
		if event.Cause != "" {
			reason += ": " + event.Cause
		}
	}
	if event.Kind == timeline.MoveCommitted && event.Pool != "" {
		state.vm.Pool = event.Pool
	}
	if (state.out[effect.layer] == "") == (reason == "") {
		return event.Kind == timeline.MoveCommitted
	}
	state.out[effect.layer] = reason
	return true
}

// sample adds the capacity of the pool at a time.
func (m *PoolMargin) sample(at time.Time, r *replay) {
	capacity := 0
	causes := []string{}
	for _, name := range r.names {
		state := r.vms[name]
		if state.vm.Pool != m.Pool {
			continue
		}
		if state.serves() {
			capacity += state.vm.Slots
			continue
		}
		causes = append(causes, state.causes()...)
	}
	if last := len(m.Capacity) - 1; last >= 0 && m.Capacity[last].Value == float64(capacity) {
		return
	}
	if margin := capacity - m.Promised; len(m.Capacity) == 0 || margin < m.Lowest {
		m.Lowest, m.LowestAt, m.Causes = margin, at, causes
	}
	m.Capacity = append(m.Capacity, plot.Point{At: at, Value: float64(capacity)})
}

func (s *vmState) causes() []string {
	var causes []string
	for _, reason := range s.out {
		if reason != "" {
			causes = append(causes, s.vm.Name+": "+reason)
		}
	}
	return causes
}
