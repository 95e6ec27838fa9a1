package moves

import (
	"fmt"
	"testing"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// twoPools returns two pools of six VMs, each of which promises the slots of
// two VMs.
func twoPools() *plan.Input {
	document := &fleet.Document{Weights: fleet.Weights{Buffer: 1, Rollout: 1, Moves: 1}}
	in := &plan.Input{NowMS: 10_000_000, Document: document, Zones: map[string]plan.ZoneStatus{"z": {Entries: 1}}, BusySlots: map[string]float64{}}
	for _, pool := range []string{"a", "b"} {
		document.Pools = append(document.Pools, fleet.Pool{Name: pool, MinDwellS: 60})
		document.Services = append(document.Services, fleet.Service{Name: pool, Pool: pool, Budget: fleet.Budget{PromisedSlots: 16}})
		for i := range 6 {
			vm := view.VM{Name: fmt.Sprintf("%s-%d", pool, i), Pool: pool, Zone: "z", Rack: "r", Epoch: 1, Phase: view.Serving, Slots: 8}
			in.VMs = append(in.VMs, plan.VM{VM: vm, Desired: pool, Health: plan.Up})
		}
	}
	return in
}

func TestMovesKeepTheOldPoolsBudget(t *testing.T) {
	in := twoPools()
	for i := range 6 {
		in.VMs[i].Desired = "b"
	}
	result := Plan(in, plan.NewGate(in))
	if len(result.Steps) != 4 || len(result.Blocked) != 2 {
		t.Errorf("%d VMs leave a pool of six VMs that promises two; blocked %v", len(result.Steps), result.Blocked)
	}
}

func TestVMStaysForItsMinimumDwellTime(t *testing.T) {
	in := twoPools()
	in.VMs[0].Desired = "b"
	in.VMs[0].SinceMS = in.NowMS - 59_000
	if result := Plan(in, plan.NewGate(in)); len(result.Steps) != 0 || len(result.Blocked) != 1 {
		t.Errorf("steps %v, blocked %v", result.Steps, result.Blocked)
	}
	in.NowMS += 1000
	if result := Plan(in, plan.NewGate(in)); len(result.Steps) != 1 {
		t.Errorf("steps %v after the minimum dwell time", result.Steps)
	}
}

func TestLostVMCanLeaveAPoolThatIsShortOfSlots(t *testing.T) {
	in := twoPools()
	for i := range 5 {
		in.VMs[i].Health = plan.Down
	}
	in.VMs[0].Desired, in.VMs[5].Desired = "", ""
	result := Plan(in, plan.NewGate(in))
	if len(result.Steps) != 1 || result.Steps[0].VM != "a-0" {
		t.Errorf("steps %v, expected the lost a-0 to leave and the live a-5 to stay", result.Steps)
	}
}

// proposals applies the load busy(second) to pool a, one sample a second, and
// returns the first proposals.
func proposals(in *plan.Input, seconds int, busy func(second int) float64) []Proposal {
	load := Load{}.Observe(in)
	for second := range seconds {
		in.NowMS += 1000
		in.BusySlots["a"] = busy(second)
		load = load.Observe(in)
		if found := Propose(in, load); len(found) > 0 {
			return found
		}
	}
	return nil
}

// TestOnlySustainedLoadIsProposed fails if both the smoothing and the sustain
// time are removed. Either of them alone still filters out bursts of a few
// seconds.
func TestOnlySustainedLoadIsProposed(t *testing.T) {
	bursts := func(second int) float64 {
		if second%28 < 8 {
			return 48
		}
		return 2
	}
	if found := proposals(twoPools(), 3600, bursts); len(found) > 0 {
		t.Errorf("bursts proposed %v", found)
	}
	found := proposals(twoPools(), 3600, func(int) float64 { return 46 })
	if len(found) != 1 || found[0].From != "b" || found[0].To != "a" {
		t.Errorf("a sustained shift proposed %v", found)
	}
}

func TestWeightOfMovesLengthensTheSustainTime(t *testing.T) {
	pool := fleet.Pool{MinDwellS: 600}
	buffer := SustainMS(&fleet.Document{Weights: fleet.Weights{Buffer: 10, Rollout: 1, Moves: 1}}, pool)
	moves := SustainMS(&fleet.Document{Weights: fleet.Weights{Buffer: 1, Rollout: 1, Moves: 10}}, pool)
	if buffer >= moves {
		t.Errorf("sustain %d ms under the weight of buffer, %d ms under that of moves", buffer, moves)
	}
}
