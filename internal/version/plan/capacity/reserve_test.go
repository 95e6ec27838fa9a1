package capacity

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// drawInput draws a fleet of three pools over a few racks. The last pool is
// the spare pool.
func drawInput(t *rapid.T) *plan.Input {
	document := &fleet.Document{}
	in := &plan.Input{Document: document, BusySlots: map[string]float64{}}
	racks := rapid.IntRange(3, 6).Draw(t, "racks")
	for i, pool := range []string{"a", "b", "spare"} {
		tolerance := fleet.Tolerance{Racks: rapid.IntRange(0, 1).Draw(t, "lost racks"), VMs: rapid.IntRange(0, 1).Draw(t, "lost VMs")}
		document.Pools = append(document.Pools, fleet.Pool{Name: pool, Spare: pool == "spare", Tolerate: tolerance})
		vms := rapid.IntRange(4, 10).Draw(t, "VMs")
		service := fleet.Service{Name: pool, Pool: pool, Spill: rapid.Bool().Draw(t, "spill")}
		service.Budget.PromisedSlots = 8 * rapid.IntRange(0, vms/2).Draw(t, "promised")
		document.Services = append(document.Services, service)
		for j := range vms {
			rack := fmt.Sprintf("r%d", (i+j)%racks)
			vm := view.VM{Name: fmt.Sprintf("%s-%d", pool, j), Pool: pool, Rack: rack, Slots: 8, Phase: view.Serving}
			in.VMs = append(in.VMs, plan.VM{VM: vm, Desired: pool, Health: plan.Up})
		}
	}
	return in
}

// keptSlots returns the kept slots of each pool by rack.
func keptSlots(in *plan.Input, result Result) map[string]map[string]int {
	index := in.Index()
	kept := map[string]map[string]int{}
	for _, assigned := range result.Assignments {
		if assigned.Role != Needed && assigned.Role != Reserve {
			continue
		}
		if kept[assigned.Pool] == nil {
			kept[assigned.Pool] = map[string]int{}
		}
		kept[assigned.Pool][index[assigned.VM].Rack] += index[assigned.VM].Slots
	}
	return kept
}

// missingSlots returns the slots that the kept VMs lack after the loss of a
// rack and one further VM of a pool. It is computed independently of the
// planner.
func missingSlots(in *plan.Input, kept map[string]map[string]int, rack, further string) int {
	lendable, borrowed, own := 0, 0, 0
	for i, pool := range in.Document.Pools {
		left := 0
		for name, slots := range kept[pool.Name] {
			if name != rack || pool.Tolerate.Racks == 0 {
				left += slots
			}
		}
		if pool.Name == further && pool.Tolerate.VMs > 0 {
			left = max(0, left-8)
		}
		service := in.Document.Services[i]
		switch need := service.Budget.PromisedSlots; {
		case pool.Spare:
			lendable = left - need
		case service.Spill || need == 0:
			borrowed += max(0, need-left)
		default:
			own += max(0, need-left)
		}
	}
	return own + max(0, -lendable) + max(0, borrowed-max(0, lendable))
}

// TestReserveCoversEveryToleratedLoss fails without chooseReserve, and without
// the loss of further VMs in evaluate.
func TestReserveCoversEveryToleratedLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		result := Plan(in)
		if len(result.Uncovered) > 0 {
			t.Skip("this fleet can't tolerate its losses")
		}
		kept := keptSlots(in, result)
		for r := range 7 {
			for _, further := range []string{"", "a", "b", "spare"} {
				rack := fmt.Sprintf("r%d", r)
				if slots := missingSlots(in, kept, rack, further); slots > 0 {
					t.Fatalf("%d slots are missing after the loss of rack %s and a VM of pool %q: %+v", slots, rack, further, result.Pools)
				}
			}
		}
		if result.ReserveVMs < result.LowerBoundVMs {
			t.Fatalf("reserve %d is below its bound %d", result.ReserveVMs, result.LowerBoundVMs)
		}
	})
}
