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

// lowerBound returns the VMs that any reserve needs: the largest loss of one
// rack with needed VMs spread as evenly as the pools' racks allow, and the
// further VMs, in VMs of the largest size.
func (p *planner) lowerBound() int {
	largest := 0
	further := 0
	for _, pool := range p.order {
		largest = max(largest, pool.largest)
		further = max(further, pool.tolerance.VMs*pool.smallest())
	}
	if largest == 0 {
		return 0
	}
	worst := 0
	for _, rack := range p.racks {
		slots := 0
		for _, pool := range p.rackPools[rack] {
			slots += pool.unavoidable(rack)
		}
		worst = max(worst, slots)
	}
	return int(math.Ceil(float64(worst+further) / float64(largest)))
}

// unavoidable returns the needed slots that must stand in a rack because
// the pool's other racks can't hold them all.
func (s *poolState) unavoidable(rack string) int {
	if s.tolerance.Racks == 0 {
		return 0
	}
	elsewhere := 0
	for _, one := range s.members {
		if one.role != Absent && one.vm.Rack != rack {
			elsewhere += one.vm.Slots
		}
	}
	return max(0, s.need-elsewhere)
}

func (s *poolState) smallest() int {
	smallest := 0
	for _, one := range s.members {
		if smallest == 0 || one.vm.Slots < smallest {
			smallest = one.vm.Slots
		}
	}
	return smallest
}
