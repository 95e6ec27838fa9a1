package capacity

import (
	"math"

	"arbutusward.example/arbutusward/internal/version/plan"
)

func (p *planner) result() Result {
	result := Result{Pools: []PoolReserve{}, Margins: []Margin{}, Assignments: []Assignment{}}
	for _, pool := range p.order {
		reserve := PoolReserve{Pool: pool.name, NeededSlots: pool.need, Shares: pool.shares}
		for _, one := range pool.members {
			reserve.count(one.role)
			result.Assignments = append(result.Assignments, p.assignment(pool, one))
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

func (p *planner) assignment(pool *poolState, one *member) Assignment {
	reason := one.reason
	if one.role == Surplus {
		reason = "every tolerated loss is carried without it"
	}
	return Assignment{VM: one.vm.Name, Pool: pool.name, Role: one.role, Reason: reason}
}

// margins returns the margin of each service on the present state.
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

// lowerBound returns the reserve in VMs that no plan can do with less: even
// if every pool could lend to every other and the kept VMs were spread
// evenly, the tolerated racks would take their share of them, and the
// further VMs theirs.
func (p *planner) lowerBound() int {
	need, largest, further, racks := 0, 0, 0, math.MaxInt
	for _, pool := range p.order {
		if len(pool.members) == 0 {
			continue
		}
		need += pool.need
		largest = max(largest, pool.largest)
		racks = min(racks, pool.tolerance.Racks)
		if pool.outlasts() {
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

// outlasts says whether the pool has VMs left to lose after its tolerated
// racks, however its needed VMs are placed.
func (s *poolState) outlasts() bool {
	byRack := map[string]int{}
	fullest := 0
	for _, one := range s.members {
		byRack[one.vm.Rack] += one.vm.Slots
		fullest = max(fullest, byRack[one.vm.Rack])
	}
	return s.need >= s.tolerance.Racks*fullest+s.tolerance.VMs*s.largest
}

// smallest returns the size of the pool's smallest VM.
func (s *poolState) smallest() int {
	smallest := 0
	for _, one := range s.members {
		if smallest == 0 || one.vm.Slots < smallest {
			smallest = one.vm.Slots
		}
	}
	return smallest
}
