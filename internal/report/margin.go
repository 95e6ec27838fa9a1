package report

import (
	"fmt"
	"sort"
	"time"

	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/report/plot"
	"arbutusward.example/arbutusward/internal/version/view"
)

// PoolMargin compares the capacity of a pool over the span with the slots promised
// to its services.
type PoolMargin struct {
	Pool     string   `json:"pool"`
	Services []string `json:"services"`
	// Promised is the sum of the slots promised to the services.
	Promised int `json:"promised"`
	// KnownSince is the earliest time of the span from which on at least one
	// process holds its events. The margin before it is unknown. The report
	// lists the gaps of single processes.
	KnownSince time.Time `json:"known_since"`
	// Capacity is the number of slots that could serve; each value holds from
	// its time on.
	Capacity []plot.Point `json:"capacity"`
	// Lowest is the smallest margin, which is the capacity minus Promised.
	Lowest   int       `json:"lowest"`
	LowestAt time.Time `json:"lowest_at"`
	// Causes lists the VMs that were out of service at LowestAt with the reasons.
	Causes []string `json:"causes"`
}

// layer is an independent reason for which a VM can be out of service. A VM serves
// only if no layer takes it out.
type layer int

const (
	// orderLayer covers what control reports: its orders and lost VMs.
	orderLayer layer = iota
	// targetLayer covers the state of the VM's target as the entries observe it.
	targetLayer
	// layerCount is the number of layers.
	layerCount
)

// vmState is the state of one VM after the events applied so far.
type vmState struct {
	vm view.VM
	// out holds, for each layer, the reason why it takes the VM out, or "".
	out [layerCount]string
}

// serves reports whether no layer takes the VM out.
func (s *vmState) serves() bool { return s.out[orderLayer] == "" && s.out[targetLayer] == "" }

// effects maps each kind of event that takes a VM out of service or brings it back
// to the layer that it belongs to.
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

// poolMargins replays the events and returns the margin of each pool. A VM without
// order events is assumed to have been in the phase that it had at the collection
// for the whole span.
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

// replay is the state of all VMs while the events are applied in order.
type replay struct {
	vms map[string]*vmState
	// names lists the names of the VMs, sorted.
	names []string
}

// newReplay returns the state before the first event, derived from the VMs at the
// time of collection. It leaves out retired VMs.
func newReplay(vms []view.VM, events []timeline.Event) *replay {
	r := &replay{vms: map[string]*vmState{}}
	hasOrders := map[string]bool{}
	for _, event := range events {
		if effect, ok := effects[event.Kind]; ok && effect.layer == orderLayer {
			hasOrders[event.VM] = true
		}
	}
	for _, vm := range vms {
		if vm.Phase == view.Retired {
			continue
		}
		state := &vmState{vm: vm}
		if vm.Phase != view.Serving && !hasOrders[vm.Name] {
			state.out[orderLayer] = fmt.Sprintf("phase %s at the collection, no event says since when", vm.Phase)
		}
		r.vms[vm.Name] = state
		r.names = append(r.names, vm.Name)
	}
	sort.Strings(r.names)
	return r
}

// run applies the events before to. It calls sample at from and after each later
// event that changes the state.
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

// apply updates the state with one event and reports whether a VM's service or pool
// changed.
func (r *replay) apply(event timeline.Event) bool {
	effect, ok := effects[event.Kind]
	state := r.vms[event.VM]
	if !ok || state == nil {
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

// sample adds the capacity of the pool at a time and updates the lowest margin. It
// adds nothing if the capacity has not changed.
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

// causes returns the VM's name with the reason of each layer that takes it out.
func (s *vmState) causes() []string {
	var causes []string
	for _, reason := range s.out {
		if reason != "" {
			causes = append(causes, s.vm.Name+": "+reason)
		}
	}
	return causes
}
