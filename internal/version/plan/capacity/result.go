package capacity

import (
	"math"

	"arbutusward.example/arbutusward/internal/version/plan"
)

func (p *planner) result() Result {
	result := Result{Pools: []PoolReserve{}, Margins: []Margin{}, Assignments: []Assignment{}}
	for _, pool := range p.order {
		reserve := PoolReserve{Pool: pool.name, NeededSlots: pool.need, Shares: pool.shares}
		for _, m := range pool.members {
			reserve.count(m.role)
			result.Assignments = append(result.Assignments, p.assignment(pool, m))
		}
		result.ReserveVMs += reserve.ReserveVMs
		result.Pools = append(result.Pools, reserve)
	}
	result.LowerBoundVMs = p.lowerBound()
	result.Margins = margins(p.in)
	return result
}

func (r *PoolReserve) count(role Role) {
	switch role {
	case Needed:
		r.NeededVMs++
	case Reserve:
		r.ReserveVMs++
	case Surplus:
		r.SurplusVMs++
	}
}

func (p *planner) assignment(pool *poolState, m *member) Assignment {
	reason := m.reason
	if m.role == Surplus {
		reason = "every tolerated loss is carried without it"
	}
	return Assignment{VM: m.vm.Name, Pool: pool.name, Role: m.role, Reason: reason}
}

// margins returns the margin of each service in the snapshot.
func margins(in *plan.Input) []Margin {
	found := []Margin{}
	if in.Document == nil {
		return found
	}
	gate := plan.NewGate(in)
	for _, service := range in.Document.Services {
		found = append(found, Margin{Service: service.Name, Pool: service.Pool, PromisedSlots: service.Budget.PromisedSlots,
			ServingSlots: gate.Serving(service.Pool), MarginSlots: gate.Margin(service.Pool)})
	}
	return found
}

// lowerBound returns a lower bound on the reserve in VMs of any plan. It
// assumes that every pool can lend to every other and that the kept VMs are
// spread evenly over the racks. Even then the tolerated racks take their share
// of the kept VMs, and the further VMs come on top.
func (p *planner) lowerBound() int {
	need, largest, further, racks := 0, 0, 0, math.MaxInt
	for _, pool := range p.order {
		if len(pool.members) == 0 {
			continue
		}
		need += pool.need
		largest = max(largest, pool.largest)
		racks = min(racks, pool.tolerance.Racks)
		if pool.survivesRackLoss() {
			further = max(further, pool.tolerance.VMs*pool.smallest())
		}
	}
	if largest == 0 || need == 0 {
		return 0
	}
	racks = min(racks, len(p.racks)-1)
	left := float64(len(p.racks)-racks) / float64(len(p.racks))
	kept := float64(need+further) / left
	return int(math.Ceil((kept - float64(need)) / float64(largest)))
}

// survivesRackLoss reports whether the pool still has VMs to lose after the
// loss of its tolerated racks, however its needed VMs are placed.
func (s *poolState) survivesRackLoss() bool {
	byRack := map[string]int{}
	fullest := 0
	for _, m := range s.members {
		byRack[m.vm.Rack] += m.vm.Slots
		fullest = max(fullest, byRack[m.vm.Rack])
	}
	return s.need >= s.tolerance.Racks*fullest+s.tolerance.VMs*s.largest
}

// smallest returns the number of slots of the pool's smallest VM.
func (s *poolState) smallest() int {
	smallest := 0
	for _, m := range s.members {
		if smallest == 0 || m.vm.Slots < smallest {
			smallest = m.vm.Slots
		}
	}
	return smallest
}
