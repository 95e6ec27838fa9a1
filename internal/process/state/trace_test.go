package state_test

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"sort"
	"testing"

	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/plan/moves"
	"arbutusward.example/arbutusward/internal/version/plan/wave"
	"arbutusward.example/arbutusward/internal/version/view"
)

const (
	// lossConfirmMS is the time after which a missing VM counts as lost.
	lossConfirmMS = 10_000
	// hourMS is one hour.
	hourMS = 3_600_000
)

// machineVM is one VM as the trace sees it.
type machineVM struct {
	// failedUntilMS ends an unplanned loss, rebootUntilMS a reboot.
	failedUntilMS, rebootUntilMS int64
	liveSinceMS, missingSinceMS  int64
	order                        string
	// drainMS and rebootMS are how long this VM needs.
	drainMS, rebootMS int64
}

func (m *machineVM) up(nowMS int64) bool { return nowMS >= m.failedUntilMS && nowMS >= m.rebootUntilMS }

// trace drives the planners and the state machine in virtual time. It has
// no network and no processes: observations are read off the VMs.
type trace struct {
	t       *testing.T
	machine *state.Machine
	index   uint64
	nowMS   int64
	vms     map[string]*machineVM
	busy    map[string]float64
	moved   int
	// breaches counts seconds in which a pool served less than promised
	// within its tolerance, beyond those outside of it.
	breaches, beyond int
	// unsafe counts seconds in which the worst tolerated loss, had it come
	// then, would have broken a budget. It is counted while nothing has failed.
	unsafe  int
	reboots map[string]int
}

func newTrace(t *testing.T, file string, seed uint64) *trace {
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	tr := &trace{t: t, machine: state.NewMachine(), vms: map[string]*machineVM{}, busy: map[string]float64{}, reboots: map[string]int{}}
	tr.apply(state.SubmitDocument, state.DocumentSubmission{Text: text})
	random := rand.New(rand.NewPCG(seed, 1))
	for _, vm := range tr.machine.Fleet().Document.VMs {
		tr.vms[vm.Name] = &machineVM{drainMS: 1000 + random.Int64N(4000), rebootMS: 60_000 + random.Int64N(60_000)}
	}
	return tr
}

func (tr *trace) apply(kind state.Kind, body any) bool {
	entry, err := state.Encode(kind, tr.nowMS, body)
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.index++
	_, err = state.DecodeResult[any](tr.machine.Apply(tr.index, entry))
	return err == nil
}

// input reads the snapshot off the VMs.
func (tr *trace) input() *plan.Input {
	f := tr.machine.Fleet()
	in := &plan.Input{NowMS: tr.nowMS, Document: f.Document, Moves: f.Moves, Zones: map[string]plan.ZoneStatus{}, BusySlots: tr.busy}
	for _, zone := range f.Document.Zones {
		in.Zones[zone.Name] = plan.ZoneStatus{Entries: 2}
	}
	desired := map[string]string{}
	for _, vm := range f.Document.VMs {
		desired[vm.Name] = vm.Pool
	}
	for name, owned := range f.VMs {
		in.VMs = append(in.VMs, tr.sight(name, owned, desired[name]))
	}
	sort.Slice(in.VMs, func(i, j int) bool { return in.VMs[i].Name < in.VMs[j].Name })
	for _, run := range f.Runs {
		in.Runs = append(in.Runs, run)
	}
	return in
}

func (tr *trace) sight(name string, owned state.OwnedVM, desired string) plan.VM {
	machine := tr.vms[name]
	vm := plan.VM{VM: owned.VM, Desired: desired, SinceMS: owned.SinceMS, LiveSinceMS: machine.liveSinceMS}
	switch {
	case machine.liveSinceMS > 0:
		vm.Health = plan.Up
	case tr.nowMS-machine.missingSinceMS >= lossConfirmMS:
		vm.Health = plan.Down
	}
	vm.Drained = owned.Phase == view.Draining && tr.nowMS-tr.drainingSince(name) >= machine.drainMS
	vm.Platform = plan.PlatformStatus{Known: true, Running: machine.up(tr.nowMS), LastOrder: machine.order}
	return vm
}

func (tr *trace) drainingSince(name string) int64 {
	f := tr.machine.Fleet()
	if move, moving := f.Moves[name]; moving {
		return move.AtMS
	}
	for _, run := range f.Runs {
		if run.VMs[name].State == plan.Draining {
			return run.VMs[name].SinceMS
		}
	}
	return tr.nowMS
}

// tick passes one second.
func (tr *trace) tick() {
	tr.nowMS += 1000
	for _, machine := range tr.vms {
		if machine.up(tr.nowMS) {
			machine.missingSinceMS = 0
			if machine.liveSinceMS == 0 {
				machine.liveSinceMS = tr.nowMS
			}
			continue
		}
		machine.liveSinceMS = 0
		if machine.missingSinceMS == 0 {
			machine.missingSinceMS = tr.nowMS
		}
	}
	tr.plan()
	tr.order()
	tr.check()
}

func (tr *trace) plan() {
	in := tr.input()
	gate := plan.NewGate(in)
	moved := moves.Plan(in, gate)
	waved := wave.Plan(in, gate)
	for _, step := range moved.Steps {
		if tr.apply(state.StepMove, step) && step.Kind == plan.CommitMove {
			tr.moved++
		}
	}
	for _, losses := range waved.Losses {
		tr.apply(state.RecordLosses, losses)
	}
	for _, step := range waved.Steps {
		tr.apply(state.StepWave, step)
	}
	for _, run := range waved.Ended {
		tr.apply(state.EndWave, state.WaveEnd{Run: run})
	}
}

// order reboots VMs as the platform would, once for each order.
func (tr *trace) order() {
	for _, run := range tr.machine.Fleet().Runs {
		for name, progress := range run.VMs {
			machine := tr.vms[name]
			if progress.State == plan.Rebooting && machine.order != progress.Order {
				machine.order = progress.Order
				machine.rebootUntilMS = tr.nowMS + machine.rebootMS
				tr.reboots[run.ID+" "+name]++
			}
		}
	}
}

// check counts the pools that serve less than they promise.
func (tr *trace) check() {
	f := tr.machine.Fleet()
	serving := map[string]int{}
	racks := map[string]map[string][]int{}
	lost := map[string]map[string]int{}
	for name, vm := range f.VMs {
		if vm.Phase == view.Serving && tr.vms[name].up(tr.nowMS) {
			serving[vm.Pool] += vm.Slots
			if racks[vm.Pool] == nil {
				racks[vm.Pool] = map[string][]int{}
			}
			racks[vm.Pool][vm.Rack] = append(racks[vm.Pool][vm.Rack], vm.Slots)
		}
		if vm.Phase == view.Lost || tr.nowMS < tr.vms[name].failedUntilMS {
			if lost[vm.Pool] == nil {
				lost[vm.Pool] = map[string]int{}
			}
			lost[vm.Pool][vm.Rack]++
		}
	}
	promised := plan.Promised(f.Document)
	for _, pool := range f.Document.Pools {
		if len(lost) == 0 && serving[pool.Name]-fleet.WorstLoss(racks[pool.Name], pool.Tolerate) < promised[pool.Name] {
			tr.unsafe++
		}
		switch {
		case serving[pool.Name] >= promised[pool.Name]:
		case tolerated(lost[pool.Name], pool.Tolerate):
			tr.breaches++
		default:
			tr.beyond++
		}
	}
}

// tolerated says whether the losses by rack are within a tolerance.
func tolerated(lost map[string]int, tolerance fleet.Tolerance) bool {
	var racks []int
	for _, count := range lost {
		racks = append(racks, count)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(racks)))
	further := 0
	for _, count := range racks[min(tolerance.Racks, len(racks)):] {
		further += count
	}
	return further <= tolerance.VMs
}

// fail takes VMs away for some time.
func (tr *trace) fail(forMS int64, names ...string) {
	for _, name := range names {
		tr.vms[name].failedUntilMS = tr.nowMS + forMS
	}
}

// rack returns the VMs of a rack.
func (tr *trace) rack(rack string) []string {
	var names []string
	for name, vm := range tr.machine.Fleet().VMs {
		if vm.Rack == rack {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// setPool submits the document with a VM in another pool.
func (tr *trace) setPool(name, pool string) {
	f := tr.machine.Fleet()
	document := *f.Document
	document.VMs = append([]fleet.VM{}, document.VMs...)
	for i := range document.VMs {
		if document.VMs[i].Name == name {
			document.VMs[i].Pool = pool
		}
	}
	text, err := json.Marshal(document)
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.apply(state.SubmitDocument, state.DocumentSubmission{Base: f.Version, Text: text})
}
