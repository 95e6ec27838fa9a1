// Package cost compares a document with the current fleet: what would change,
// and what the change costs in moves, reserve and time.
package cost

import (
	"sort"
	"time"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/plan/capacity"
	"arbutusward.example/arbutusward/internal/version/view"
)

// roundTime is the assumed duration of one round of moves, apart from the
// drain. A drain lasts as long as the longest request of the services.
const roundTime = 2 * time.Second

// PoolChange is a VM's change of pool.
type PoolChange struct {
	VM   string `json:"vm"`
	From string `json:"from"`
	// To is "" for a VM that is removed from the fleet.
	To string `json:"to"`
}

// Comparison describes what would change under a document.
type Comparison struct {
	AddedVMs        []string     `json:"added_vms"`
	RemovedVMs      []string     `json:"removed_vms"`
	Moves           []PoolChange `json:"moves"`
	AddedServices   []string     `json:"added_services"`
	RemovedServices []string     `json:"removed_services"`
	ChangedServices []string     `json:"changed_services"`
	// ReserveBefore and ReserveAfter are the numbers of VMs kept free for
	// losses.
	ReserveBefore int `json:"reserve_before"`
	ReserveAfter  int `json:"reserve_after"`
	// Rounds is the number of consecutive rounds of moves that the budgets
	// require; EstimateS is the time they take, in seconds.
	Rounds    int     `json:"rounds"`
	EstimateS float64 `json:"estimate_s"`
	// Stuck lists the VMs that the budgets never allow to move.
	Stuck []plan.Blocked `json:"stuck"`
	// Cost is the sum of moves, reserve and time, weighted by the document's
	// weights.
	Cost float64 `json:"cost"`
}

// Compare compares a document with the fleet in the snapshot.
func Compare(in *plan.Input, document *fleet.Document) Comparison {
	c := Comparison{AddedVMs: []string{}, RemovedVMs: []string{}, Moves: []PoolChange{}, Stuck: []plan.Blocked{}}
	c.compareVMs(in, document)
	c.compareServices(in.Document, document)
	before, after := assumeUp(in, in.Document), assumeUp(in, document)
	c.ReserveBefore = capacity.Plan(&before).ReserveVMs
	moved := afterMoves(after)
	c.ReserveAfter = capacity.Plan(&moved).ReserveVMs
	c.simulate(after)
	c.EstimateS = float64(c.Rounds) * (roundTime + longestRequest(document)).Seconds()
	c.Cost = c.weightedCost(document.Weights)
	return c
}

func (c *Comparison) compareVMs(in *plan.Input, document *fleet.Document) {
	known := in.Index()
	declared := map[string]bool{}
	for _, vm := range document.VMs {
		declared[vm.Name] = true
		owned := known[vm.Name]
		switch {
		case owned == nil:
			c.AddedVMs = append(c.AddedVMs, vm.Name)
		case owned.Pool != vm.Pool:
			c.Moves = append(c.Moves, PoolChange{VM: vm.Name, From: owned.Pool, To: vm.Pool})
		}
	}
	for i := range in.VMs {
		vm := &in.VMs[i]
		if !declared[vm.Name] {
			c.RemovedVMs = append(c.RemovedVMs, vm.Name)
			c.Moves = append(c.Moves, PoolChange{VM: vm.Name, From: vm.Pool})
		}
	}
}

// assumeUp returns the snapshot under a document, with every VM serving and
// up: the comparison is made for the whole fleet, independent of its current
// faults. The status of the zones is left out because it does not affect
// budgets or reserve.
func assumeUp(in *plan.Input, document *fleet.Document) plan.Input {
	out := plan.Input{NowMS: in.NowMS, Document: document, Zones: map[string]plan.ZoneStatus{}, BusySlots: in.BusySlots}
	if document == nil {
		return out
	}
	desired := map[string]fleet.VM{}
	for _, vm := range document.VMs {
		desired[vm.Name] = vm
	}
	for _, vm := range in.VMs {
		vm.Phase, vm.Health = view.Serving, plan.Up
		vm.Desired = desired[vm.Name].Pool
		out.VMs = append(out.VMs, vm)
	}
	known := in.Index()
	for _, vm := range document.VMs {
		if known[vm.Name] == nil {
			added := view.VM{Name: vm.Name, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, Slots: vm.Slots, Phase: view.Serving}
			out.VMs = append(out.VMs, plan.VM{VM: added, Desired: vm.Pool, Health: plan.Up})
		}
	}
	sort.Slice(out.VMs, func(i, j int) bool { return out.VMs[i].Name < out.VMs[j].Name })
	return out
}

// afterMoves returns the snapshot with every VM in its desired pool. VMs
// without a desired pool are left out.
func afterMoves(in plan.Input) plan.Input {
	moved := in
	moved.VMs = nil
	for _, vm := range in.VMs {
		if vm.Desired == "" {
			continue
		}
		vm.Pool = vm.Desired
		moved.VMs = append(moved.VMs, vm)
	}
	return moved
}

// simulate counts the rounds that the budgets require for all moves.
func (c *Comparison) simulate(in plan.Input) {
	for {
		gate := plan.NewGate(&in)
		pending, moved := 0, map[string]bool{}
		c.Stuck = c.Stuck[:0]
		for i := range in.VMs {
			vm := &in.VMs[i]
			if vm.Pool == vm.Desired {
				continue
			}
			pending++
			if reason, ok := gate.CanTakeOut(vm); !ok {
				c.Stuck = append(c.Stuck, plan.Blocked{VM: vm.Name, Reason: reason})
				continue
			}
			gate.TakeOut(vm)
			moved[vm.Name] = true
		}
		if pending == 0 || len(moved) == 0 {
			return
		}
		c.Rounds++
		in.VMs = applyRound(in.VMs, moved)
	}
}

// applyRound returns the VMs after a round of moves.
func applyRound(vms []plan.VM, moved map[string]bool) []plan.VM {
	var after []plan.VM
	for _, vm := range vms {
		if moved[vm.Name] && vm.Desired == "" {
			continue
		}
		if moved[vm.Name] {
			vm.Pool = vm.Desired
		}
		after = append(after, vm)
	}
	return after
}

func longestRequest(document *fleet.Document) time.Duration {
	longest := 0
	for _, service := range document.Services {
		longest = max(longest, service.DeadlineMS)
	}
	return time.Duration(longest) * time.Millisecond
}

// weightedCost returns the weighted sum of the moves, the reserve held for one
// hour and the time.
func (c *Comparison) weightedCost(weights fleet.Weights) float64 {
	return weights.Moves*float64(len(c.Moves)) + weights.Buffer*float64(c.ReserveAfter) + weights.Rollout*c.EstimateS/3600
}
