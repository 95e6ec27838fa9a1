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
	// lossConfirmMS is the time after which a missing VM is reported as down.
	lossConfirmMS = 10_000
	// hourMS is one hour, in ms.
	hourMS = 3_600_000
)

// simVM is a simulated VM.
type simVM struct {
	// failedUntilMS is the end of an unplanned loss, rebootUntilMS that of a
	// reboot.
	failedUntilMS, rebootUntilMS int64
	liveSinceMS, missingSinceMS  int64
	order                        string
	// drainMS and rebootMS are the durations of the VM's drains and reboots.
	drainMS, rebootMS int64
}

func (m *simVM) up(nowMS int64) bool { return nowMS >= m.failedUntilMS && nowMS >= m.rebootUntilMS }

// simulation runs the planners and the state machine in virtual time. There is
// no network and there are no processes: the planners' observations are the
// states of the simulated VMs.
type simulation struct {
	t       *testing.T
	machine *state.Machine
	index   uint64
	nowMS   int64
	vms     map[string]*simVM
	busy    map[string]float64
	moved   int
	// breaches counts the seconds in which a pool served fewer slots than
	// promised although the losses were within its tolerance; beyond counts
	// those in which the losses exceeded the tolerance.
	breaches, beyond int
	// unsafe counts the seconds in which the worst tolerated loss would have
	// breached a budget. Only seconds without any failure are counted.
	unsafe  int
	reboots map[string]int
}

func newSimulation(t *testing.T, file string, seed uint64) *simulation {
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{t: t, machine: state.NewMachine(), vms: map[string]*simVM{}, busy: map[string]float64{}, reboots: map[string]int{}}
	sim.apply(state.SubmitDocument, state.DocumentSubmission{Text: text})
	random := rand.New(rand.NewPCG(seed, 1))
	for _, vm := range sim.machine.Fleet().Document.VMs {
		sim.vms[vm.Name] = &simVM{drainMS: 1000 + random.Int64N(4000), rebootMS: 60_000 + random.Int64N(60_000)}
	}
	return sim
}

func (sim *simulation) apply(kind state.Kind, body any) bool {
	entry, err := state.Encode(kind, sim.nowMS, body)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.index++
	_, err = state.DecodeResult[any](sim.machine.Apply(sim.index, entry))
	return err == nil
}

// input returns a snapshot with the states of the simulated VMs.
func (sim *simulation) input() *plan.Input {
	f := sim.machine.Fleet()
	in := &plan.Input{NowMS: sim.nowMS, Document: f.Document, Moves: f.Moves, Zones: map[string]plan.ZoneStatus{}, BusySlots: sim.busy}
	for _, zone := range f.Document.Zones {
		in.Zones[zone.Name] = plan.ZoneStatus{Entries: 2}
	}
	desired := map[string]string{}
	for _, vm := range f.Document.VMs {
		desired[vm.Name] = vm.Pool
	}
	for name, owned := range f.VMs {
		in.VMs = append(in.VMs, sim.observe(name, owned, desired[name]))
	}
	sort.Slice(in.VMs, func(i, j int) bool { return in.VMs[i].Name < in.VMs[j].Name })
	for _, run := range f.Runs {
		in.Runs = append(in.Runs, run)
	}
	return in
}

// observe returns a VM as the planners see it.
func (sim *simulation) observe(name string, owned state.OwnedVM, desired string) plan.VM {
	machine := sim.vms[name]
	vm := plan.VM{VM: owned.VM, Desired: desired, SinceMS: owned.SinceMS, LiveSinceMS: machine.liveSinceMS}
	switch {
	case machine.liveSinceMS > 0:
		vm.Health = plan.Up
	case sim.nowMS-machine.missingSinceMS >= lossConfirmMS:
		vm.Health = plan.Down
	}
	vm.Drained = owned.Phase == view.Draining && sim.nowMS-sim.drainingSince(name) >= machine.drainMS
	vm.Platform = plan.PlatformStatus{Known: true, Running: machine.up(sim.nowMS), LastOrder: machine.order}
	return vm
}

func (sim *simulation) drainingSince(name string) int64 {
	f := sim.machine.Fleet()
	if move, moving := f.Moves[name]; moving {
		return move.AtMS
	}
	for _, run := range f.Runs {
		if run.VMs[name].State == plan.Draining {
			return run.VMs[name].SinceMS
		}
	}
	return sim.nowMS
}

// tick advances the simulation by one second.
func (sim *simulation) tick() {
	sim.nowMS += 1000
	for _, machine := range sim.vms {
		if machine.up(sim.nowMS) {
			machine.missingSinceMS = 0
			if machine.liveSinceMS == 0 {
				machine.liveSinceMS = sim.nowMS
			}
			continue
		}
		machine.liveSinceMS = 0
		if machine.missingSinceMS == 0 {
			machine.missingSinceMS = sim.nowMS
		}
	}
	sim.plan()
	sim.reboot()
	sim.check()
}

func (sim *simulation) plan() {
	in := sim.input()
	gate := plan.NewGate(in)
	moved := moves.Plan(in, gate)
	waved := wave.Plan(in, gate)
	for _, step := range moved.Steps {
		if sim.apply(state.StepMove, step) && step.Kind == plan.CommitMove {
			sim.moved++
		}
	}
	for _, losses := range waved.Losses {
		sim.apply(state.RecordLosses, losses)
	}
	for _, step := range waved.Steps {
		sim.apply(state.StepWave, step)
	}
	for _, run := range waved.Ended {
		sim.apply(state.EndWave, state.WaveEnd{Run: run})
	}
}

// reboot executes the reboot orders of the wave runs in place of the platform,
// each order once.
func (sim *simulation) reboot() {
	for _, run := range sim.machine.Fleet().Runs {
		for name, progress := range run.VMs {
			machine := sim.vms[name]
			if progress.State == plan.Rebooting && machine.order != progress.Order {
				machine.order = progress.Order
				machine.rebootUntilMS = sim.nowMS + machine.rebootMS
				sim.reboots[run.ID+" "+name]++
			}
		}
	}
}

// check counts the pools that serve fewer slots than promised.
func (sim *simulation) check() {
	f := sim.machine.Fleet()
	serving := map[string]int{}
	racks := map[string]map[string][]int{}
	lost := map[string]map[string]int{}
	for name, vm := range f.VMs {
		if vm.Phase == view.Serving && sim.vms[name].up(sim.nowMS) {
			serving[vm.Pool] += vm.Slots
			if racks[vm.Pool] == nil {
				racks[vm.Pool] = map[string][]int{}
			}
			racks[vm.Pool][vm.Rack] = append(racks[vm.Pool][vm.Rack], vm.Slots)
		}
		if vm.Phase == view.Lost || sim.nowMS < sim.vms[name].failedUntilMS {
			if lost[vm.Pool] == nil {
				lost[vm.Pool] = map[string]int{}
			}
			lost[vm.Pool][vm.Rack]++
		}
	}
	promised := plan.Promised(f.Document)
	for _, pool := range f.Document.Pools {
		if len(lost) == 0 && serving[pool.Name]-fleet.WorstLoss(racks[pool.Name], pool.Tolerate) < promised[pool.Name] {
			sim.unsafe++
		}
		switch {
		case serving[pool.Name] >= promised[pool.Name]:
		case tolerated(lost[pool.Name], pool.Tolerate):
			sim.breaches++
		default:
			sim.beyond++
		}
	}
}

// tolerated reports whether the losses by rack are within a tolerance.
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

// fail makes VMs unavailable for some time.
func (sim *simulation) fail(forMS int64, names ...string) {
	for _, name := range names {
		sim.vms[name].failedUntilMS = sim.nowMS + forMS
	}
}

// rack returns the names of the VMs in a rack, sorted.
func (sim *simulation) rack(rack string) []string {
	var names []string
	for name, vm := range sim.machine.Fleet().VMs {
		if vm.Rack == rack {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// setPool submits the document with one VM declared for another pool.
func (sim *simulation) setPool(name, pool string) {
	f := sim.machine.Fleet()
	document := *f.Document
	document.VMs = append([]fleet.VM{}, document.VMs...)
	for i := range document.VMs {
		if document.VMs[i].Name == name {
			document.VMs[i].Pool = pool
		}
	}
	text, err := json.Marshal(document)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.apply(state.SubmitDocument, state.DocumentSubmission{Base: f.Version, Text: text})
}
