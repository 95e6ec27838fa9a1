package capacity

import (
	"math"
	"slices"
	"sort"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
)

// planner plans the reserve of one snapshot.
type planner struct {
	in    *plan.Input
	pools map[string]*poolState
	order []*poolState
	spare *poolState
	racks []string
	// rackPools holds the pools that have VMs in each rack.
	rackPools map[string][]*poolState
}

// Plan returns the capacity plan of a snapshot.
func Plan(in *plan.Input) Result {
	p := newPlanner(in)
	for _, pool := range p.order {
		p.chooseNeeded(pool)
	}
	uncovered := p.chooseReserve()
	p.releaseRedundant()
	result := p.result()
	result.Uncovered = uncovered
	return result
}

func newPlanner(in *plan.Input) *planner {
	p := &planner{in: in, pools: map[string]*poolState{}, rackPools: map[string][]*poolState{}}
	if in.Document == nil {
		return p
	}
	promised := plan.Promised(in.Document)
	total := map[string]int{}
	for _, declared := range in.Document.Pools {
		pool := &poolState{name: declared.Name, need: promised[declared.Name], tolerance: declared.Tolerate, byRack: map[string]int{}, rackTotal: total}
		p.pools[pool.name] = pool
		p.order = append(p.order, pool)
		if declared.Spare {
			p.spare = pool
		}
	}
	p.addUse()
	p.addMembers()
	for _, pool := range p.order {
		pool.shares = p.spare != nil && pool != p.spare && mayShare(in.Document, pool.name)
	}
	return p
}

// addUse raises the need of each pool to its observed use if that exceeds the
// promise.
func (p *planner) addUse() {
	busy := map[string]float64{}
	for _, service := range p.in.Document.Services {
		busy[service.Pool] += p.in.BusySlots[service.Name]
	}
	for name, pool := range p.pools {
		pool.need = max(pool.need, int(math.Ceil(busy[name])))
	}
}

// mayShare reports whether all services of a pool that have a promise may
// spill.
func mayShare(document *fleet.Document, pool string) bool {
	for _, service := range document.Services {
		if service.Pool == pool && service.Budget.PromisedSlots > 0 && !service.Spill {
			return false
		}
	}
	return true
}

func (p *planner) addMembers() {
	seen := map[string]bool{}
	for i := range p.in.VMs {
		vm := &p.in.VMs[i]
		pool := p.pools[vm.Pool]
		if pool == nil {
			continue
		}
		m := &member{vm: vm, role: Surplus}
		if !vm.Counted() {
			m.role = Absent
			m.reason = "the VM is " + string(vm.Phase) + " and not seen live"
		}
		pool.members = append(pool.members, m)
		pool.largest = max(pool.largest, vm.Slots)
		if !seen[vm.Rack] {
			seen[vm.Rack] = true
			p.racks = append(p.racks, vm.Rack)
		}
		if !slices.Contains(p.rackPools[vm.Rack], pool) {
			p.rackPools[vm.Rack] = append(p.rackPools[vm.Rack], pool)
		}
	}
	sort.Strings(p.racks)
}
