package wave

import (
	"fmt"
	"strings"
	"testing"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// smallInput returns one pool of six VMs in three racks, with a run over the
// whole pool. The pool promises 24 of 48 slots and tolerates the loss of one
// VM.
func smallInput() *plan.Input {
	document := &fleet.Document{
		Pools:    []fleet.Pool{{Name: "p", Tolerate: fleet.Tolerance{VMs: 1}}},
		Services: []fleet.Service{{Name: "s", Pool: "p", Budget: fleet.Budget{PromisedSlots: 24}}},
		Waves:    []fleet.Wave{{Name: "w", Pools: []string{"p"}, SettleS: 1, DrainS: 5}},
	}
	run := plan.WaveRun{ID: "w-1", Wave: "w", Status: plan.Running, Width: 4, VMs: map[string]plan.Progress{}}
	in := &plan.Input{NowMS: 1_000_000, Document: document, Zones: map[string]plan.ZoneStatus{"z": {Entries: 2}}}
	for i := 1; i <= 6; i++ {
		name := fmt.Sprintf("vm-%d", i)
		vm := view.VM{Name: name, Pool: "p", Zone: "z", Rack: fmt.Sprintf("r%d", (i+1)/2), Epoch: 1, Phase: view.Serving, Slots: 8}
		in.VMs = append(in.VMs, plan.VM{VM: vm, Desired: "p", Health: plan.Up, LiveSinceMS: 1})
		run.VMs[name] = plan.Progress{State: plan.Pending}
	}
	in.Runs = []plan.WaveRun{run}
	return in
}

// setState puts a VM into a state of the run.
func setState(in *plan.Input, i int, state plan.StepState, phase view.Phase, sinceMS int64) *plan.VM {
	vm := &in.VMs[i]
	vm.Phase = phase
	in.Runs[0].VMs[vm.Name] = plan.Progress{State: state, Epoch: vm.Epoch, Order: "order-" + vm.Name, SinceMS: sinceMS}
	return vm
}

func planSteps(in *plan.Input) (map[string]plan.StepState, Result) {
	result := Plan(in, plan.NewGate(in))
	found := map[string]plan.StepState{}
	for _, step := range result.Steps {
		found[step.VM] = step.To
	}
	return found, result
}

func TestAdmissionUsesTheBudgetAndSpreadsOverRacks(t *testing.T) {
	in := smallInput()
	found, _ := planSteps(in)
	// Of 48 slots, 24 are promised and 8 are kept for the tolerated loss, so
	// two VMs may be out of service.
	if len(found) != 2 || found["vm-1"] != plan.Draining || found["vm-3"] != plan.Draining {
		t.Errorf("took %v, expected vm-1 and vm-3 of different racks", found)
	}
}

func TestNoVMIsAdmittedWithoutItsPreconditions(t *testing.T) {
	cases := map[string]struct {
		change func(in *plan.Input)
		reason string
	}{
		"a responsive zone":    {func(in *plan.Input) { in.Zones["z"] = plan.ZoneStatus{Entries: 2, Unresponsive: []string{"e"}} }, "silent"},
		"an entry in the zone": {func(in *plan.Input) { in.Zones["z"] = plan.ZoneStatus{} }, "no entry"},
		"the end of a hold":    {func(in *plan.Input) { in.Runs[0].HoldUntilMS = in.NowMS + 1 }, "held"},
		"a running run":        {func(in *plan.Input) { in.Runs[0].Status = plan.Paused }, "paused"},
		"the wave's document":  {func(in *plan.Input) { in.Document.Waves = nil }, "no longer declares"},
		"the pool's budget": {func(in *plan.Input) {
			in.VMs[4].Health, in.VMs[5].Health = plan.Unknown, plan.Unknown
		}, "promises 24 slots"},
	}
	for name, test := range cases {
		in := smallInput()
		test.change(in)
		found, result := planSteps(in)
		if len(found) != 0 {
			t.Errorf("without %s: took %v", name, found)
		}
		if !strings.Contains(fmt.Sprint(result.Blocked["w-1"]), test.reason) {
			t.Errorf("without %s: reasons %v", name, result.Blocked)
		}
	}
}

func TestNewLossHaltsTheRun(t *testing.T) {
	in := smallInput()
	in.VMs[5].Health = plan.Down
	found, result := planSteps(in)
	if len(found) != 0 || len(result.Losses) != 1 || result.Losses[0].Count != 1 {
		t.Errorf("steps %v, losses %v", found, result.Losses)
	}
	// Once the run has recorded it, the loss uses up the tolerated VM and the
	// run continues.
	in.Runs[0].Losses = 1
	if found, _ := planSteps(in); len(found) != 2 {
		t.Errorf("took %v after the loss was recorded, expected two VMs", found)
	}
}

func TestLossReturnsDrainingVMsToService(t *testing.T) {
	in := smallInput()
	setState(in, 0, plan.Draining, view.Draining, in.NowMS)
	setState(in, 2, plan.Draining, view.Draining, in.NowMS)
	in.VMs[4].Health, in.VMs[5].Health = plan.Unknown, plan.Unknown
	found, _ := planSteps(in)
	if found["vm-1"] != plan.Pending {
		t.Errorf("steps %v, expected vm-1 to return to service", found)
	}
}

func TestDrainWaitsForEveryConfirmation(t *testing.T) {
	in := smallInput()
	vm := setState(in, 0, plan.Draining, view.Draining, in.NowMS-3_600_000)
	vm.Unconfirmed = []string{"entry-2"}
	found, result := planSteps(in)
	if to, taken := found["vm-1"]; taken {
		t.Errorf("vm-1 became %s without a confirmation", to)
	}
	if !strings.Contains(fmt.Sprint(result.Blocked), "late by its limit of 5 s: draining for 1h0m0s, not confirmed by [entry-2]") {
		t.Errorf("reasons %v", result.Blocked)
	}
	vm.Drained = true
	if found, _ := planSteps(in); found["vm-1"] != plan.Rebooting {
		t.Errorf("steps %v", found)
	}
}

func TestVMIsDoneOnlyAfterItsRebootAndSettleTime(t *testing.T) {
	in := smallInput()
	vm := setState(in, 0, plan.Rebooting, view.Rebooting, in.NowMS)
	vm.Platform = plan.PlatformStatus{Known: true, Running: true, LastOrder: "another"}
	if found, _ := planSteps(in); found["vm-1"] != "" {
		t.Errorf("advanced after another order: %v", found)
	}
	vm.Platform.LastOrder = "order-vm-1"
	if found, _ := planSteps(in); found["vm-1"] != plan.Settling {
		t.Errorf("steps %v", found)
	}
	vm = setState(in, 0, plan.Settling, view.Settling, in.NowMS-2000)
	if found, _ := planSteps(in); found["vm-1"] != "" {
		t.Errorf("counted while a lease from before the reboot may still run: %v", found)
	}
	setState(in, 0, plan.Settling, view.Settling, in.NowMS-4000)
	vm.LiveSinceMS = in.NowMS - 500
	if found, _ := planSteps(in); found["vm-1"] != "" {
		t.Errorf("counted before its settle time: %v", found)
	}
	vm.LiveSinceMS = in.NowMS - 1000
	if found, _ := planSteps(in); found["vm-1"] != plan.Done {
		t.Errorf("steps %v", found)
	}
}

func TestVMThatDoesNotComeBackIsLostAndMayReturn(t *testing.T) {
	in := smallInput()
	vm := setState(in, 0, plan.Rebooting, view.Rebooting, in.NowMS-rebootTimeout.Milliseconds()-1)
	if found, _ := planSteps(in); found["vm-1"] != plan.Lost {
		t.Errorf("steps %v", found)
	}
	setState(in, 0, plan.Lost, view.Lost, in.NowMS)
	vm.Platform = plan.PlatformStatus{Known: true, Running: true, LastOrder: "order-vm-1"}
	if found, _ := planSteps(in); found["vm-1"] != plan.Settling {
		t.Errorf("steps %v", found)
	}
}
