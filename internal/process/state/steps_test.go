package state

import (
	"fmt"
	"slices"
	"sort"
	"testing"

	"pgregory.net/rapid"

	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// stepsDocument declares two pools. The pool of VM b-3 is a format argument.
const stepsDocument = `{
  "schema": 1, "deployment": "steps",
  "zones": [{"name": "za", "racks": ["r1", "r2"]}],
  "pools": [{"name": "a", "tolerate": {}}, {"name": "b", "tolerate": {}}],
  "vms": [
    {"name": "a-1", "pool": "a", "zone": "za", "rack": "r1", "cpu_cores": 1, "memory_gib": 1},
    {"name": "a-2", "pool": "a", "zone": "za", "rack": "r2", "cpu_cores": 1, "memory_gib": 1},
    {"name": "a-3", "pool": "a", "zone": "za", "rack": "r2", "cpu_cores": 1, "memory_gib": 1},
    {"name": "b-1", "pool": "b", "zone": "za", "rack": "r1", "cpu_cores": 1, "memory_gib": 1},
    {"name": "b-2", "pool": "b", "zone": "za", "rack": "r2", "cpu_cores": 1, "memory_gib": 1},
    {"name": "b-4", "pool": "b", "zone": "za", "rack": "r1", "cpu_cores": 1, "memory_gib": 1},
    {"name": "b-3", "pool": %q, "zone": "za", "rack": "r2", "cpu_cores": 1, "memory_gib": 1}
  ],
  "services": [
    {"name": "a", "pool": "a", "path_prefix": "/a/", "class": "interactive", "deadline_ms": 100, "budget": {"promised_slots": 16}},
    {"name": "b", "pool": "b", "path_prefix": "/b/", "class": "interactive", "deadline_ms": 100, "budget": {"promised_slots": 16}}
  ],
  "waves": [{"name": "w", "pools": ["a", "b"]}, {"name": "x", "pools": ["a"]}],
  "weights": {"buffer": 1, "rollout": 1, "moves": 1}
}`

// stepDriver applies arbitrary commands to a machine, such as competing and
// stale leaders would send. It records the reboots that the machine has
// allowed.
type stepDriver struct {
	machine *Machine
	index   uint64
	// rebooted counts the reboots of each VM in each run.
	rebooted map[string]int
	// epochs holds the last epoch seen of each VM.
	epochs map[string]uint64
}

func newStepDriver(t rapid.TB) *stepDriver {
	s := &stepDriver{machine: NewMachine(), rebooted: map[string]int{}, epochs: map[string]uint64{}}
	s.submit(t, "b")
	return s
}

func (s *stepDriver) apply(t rapid.TB, kind Kind, body any) error {
	entry, err := Encode(kind, int64(s.index), body)
	if err != nil {
		t.Fatal(err)
	}
	s.index++
	_, err = DecodeResult[any](s.machine.Apply(s.index, entry))
	return err
}

func (s *stepDriver) submit(t rapid.TB, pool string) {
	text := fmt.Sprintf(stepsDocument, pool)
	submit := DocumentSubmission{Base: s.machine.Fleet().Version, Text: []byte(text)}
	if err := s.apply(t, SubmitDocument, submit); err != nil {
		t.Fatal(err)
	}
}

// runIDs returns the IDs of the known runs, sorted, together with an unknown
// one.
func (s *stepDriver) runIDs() []string {
	ids := []string{"none"}
	for id := range s.machine.Fleet().Runs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// nextStates returns the state that follows the VM's current state, several
// times over. This makes random sequences more likely to complete a run.
func (s *stepDriver) nextStates(step plan.WaveStep) []plan.StepState {
	order := []plan.StepState{plan.Pending, plan.Draining, plan.Rebooting, plan.Settling, plan.Done, plan.Pending}
	now := s.machine.Fleet().Runs[step.Run].VMs[step.VM].State
	for i, state := range order[:len(order)-1] {
		if state == now {
			return slices.Repeat([]plan.StepState{order[i+1]}, 2*len(order))
		}
	}
	return nil
}

func (s *stepDriver) check(t rapid.TB) {
	f := s.machine.Fleet()
	promised := plan.Promised(f.Document)
	serving := map[string]int{}
	for name, vm := range f.VMs {
		if vm.Epoch < s.epochs[name] {
			t.Fatalf("VM %s went back from epoch %d to %d", name, s.epochs[name], vm.Epoch)
		}
		s.epochs[name] = vm.Epoch
		if vm.Phase == view.Serving {
			serving[vm.Pool] += vm.Slots
		}
		s.checkOwner(t, f, vm)
	}
	for pool, slots := range promised {
		if serving[pool] < slots {
			t.Fatalf("pool %s serves %d slots by plan and promises %d", pool, serving[pool], slots)
		}
	}
	for key, count := range s.rebooted {
		if count > 1 {
			t.Fatalf("%s was rebooted %d times", key, count)
		}
	}
}

// checkOwner checks that at most one wave or move owns a VM, and that a VM
// that is not serving has an owner.
func (s *stepDriver) checkOwner(t rapid.TB, f *Fleet, vm OwnedVM) {
	owners := 0
	if _, moving := f.Moves[vm.Name]; moving {
		owners++
	}
	for _, run := range f.Runs {
		if state := run.VMs[vm.Name].State; state.OutOfService() || state == plan.Lost {
			owners++
		}
	}
	if owners > 1 || (owners == 1) == (vm.Phase == view.Serving) {
		t.Fatalf("VM %s is %s and owned by %d waves and moves", vm.Name, vm.Phase, owners)
	}
}

// TestRandomStepsRespectBudgetAndOwnership applies random steps, some of them
// with stale epochs. It fails without checkOutOfService in the step to draining,
// and without the comparison of epochs in vmAtEpoch.
func TestRandomStepsRespectBudgetAndOwnership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStepDriver(t)
		vms := []string{"a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "b-4"}
		states := []plan.StepState{plan.Pending, plan.Draining, plan.Rebooting, plan.Settling, plan.Done, plan.Lost, plan.Skipped}
		kinds := []plan.MoveKind{plan.StartMove, plan.CommitMove, plan.CancelMove, plan.RetireVM}
		stale := rapid.SampledFrom([]uint64{0, 0, 0, 0, 1, 2})
		accepted := func(t *rapid.T, old uint64, err error) bool {
			if err == nil && old > 0 {
				t.Fatal("a step under a stale epoch was accepted")
			}
			return err == nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				_ = s.apply(t, StartWave, WaveStart{Wave: rapid.SampledFrom([]string{"w", "x", "none"}).Draw(t, "wave")})
			},
			"control": func(t *rapid.T) {
				status := rapid.SampledFrom([]plan.RunStatus{plan.Running, plan.Paused, plan.Aborted}).Draw(t, "status")
				_ = s.apply(t, ControlWave, WaveControl{Wave: rapid.SampledFrom([]string{"w", "x"}).Draw(t, "wave"), Status: status})
			},
			"wave": func(t *rapid.T) {
				step := plan.WaveStep{Run: rapid.SampledFrom(s.runIDs()).Draw(t, "run"), VM: rapid.SampledFrom(vms).Draw(t, "vm")}
				step.To = rapid.SampledFrom(append(s.nextStates(step), states...)).Draw(t, "to")
				old := stale.Draw(t, "stale")
				step.Epoch = s.machine.Fleet().VMs[step.VM].Epoch - old
				if accepted(t, old, s.apply(t, StepWave, step)) && step.To == plan.Rebooting {
					s.rebooted[step.Run+" "+step.VM]++
				}
			},
			"move": func(t *rapid.T) {
				step := plan.MoveStep{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), VM: rapid.SampledFrom(vms).Draw(t, "vm"), Pool: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "pool")}
				old := stale.Draw(t, "stale")
				step.Epoch = s.machine.Fleet().VMs[step.VM].Epoch - old
				accepted(t, old, s.apply(t, StepMove, step))
			},
			"document": func(t *rapid.T) { s.submit(t, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool")) },
			"restart": func(t *rapid.T) {
				snapshot, err := s.machine.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				next := NewMachine()
				if err := next.Restore(s.index, snapshot); err != nil {
					t.Fatal(err)
				}
				s.machine = next
			},
			"": func(t *rapid.T) { s.check(t) },
		})
	})
}

// stepVM moves a VM of the only run to a state.
func (s *stepDriver) stepVM(t *testing.T, vm string, to plan.StepState) error {
	step := plan.WaveStep{Run: s.runIDs()[1], VM: vm, Epoch: s.machine.Fleet().VMs[vm].Epoch, To: to}
	return s.apply(t, StepWave, step)
}

// TestDoneVMIsNotDrainedAgain fails if allowedTransitions has a transition
// from Done.
func TestDoneVMIsNotDrainedAgain(t *testing.T) {
	s := newStepDriver(t)
	if err := s.apply(t, StartWave, WaveStart{Wave: "x"}); err != nil {
		t.Fatal(err)
	}
	for _, to := range []plan.StepState{plan.Draining, plan.Rebooting, plan.Settling, plan.Done} {
		if err := s.stepVM(t, "a-1", to); err != nil {
			t.Fatal(err)
		}
	}
	for _, to := range []plan.StepState{plan.Pending, plan.Draining, plan.Rebooting, plan.Settling, plan.Lost, plan.Skipped} {
		if err := s.stepVM(t, "a-1", to); err == nil {
			t.Errorf("a VM that is done became %s", to)
		}
	}
	// A second start returns the run that is already open.
	if err := s.apply(t, StartWave, WaveStart{Wave: "x"}); err != nil || len(s.machine.Fleet().Runs) != 1 {
		t.Errorf("second start: %v, runs %v", err, s.runIDs())
	}
}

// TestMoveThatBreaksThePromiseIsRefused fails without checkOutOfService in the
// start of a move.
func TestMoveThatBreaksThePromiseIsRefused(t *testing.T) {
	s := newStepDriver(t)
	if err := s.apply(t, StartWave, WaveStart{Wave: "w"}); err != nil {
		t.Fatal(err)
	}
	for _, vm := range []string{"b-1", "b-2"} {
		if err := s.stepVM(t, vm, plan.Draining); err != nil {
			t.Fatal(err)
		}
	}
	s.submit(t, "a")
	move := plan.MoveStep{Kind: plan.StartMove, VM: "b-3", Epoch: s.machine.Fleet().VMs["b-3"].Epoch, Pool: "a"}
	if err := s.apply(t, StepMove, move); err == nil {
		t.Error("a third VM left a pool that promises two of four")
	}
	if err := s.stepVM(t, "b-1", plan.Pending); err != nil {
		t.Fatal(err)
	}
	if err := s.apply(t, StepMove, move); err != nil {
		t.Error(err)
	}
	s.check(t)
}
