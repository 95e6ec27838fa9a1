package capacity

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
)

// Role is what a VM is kept for.
type Role string

// Roles of a VM.
const (
	// Needed says that the promise or the present use takes the VM.
	Needed Role = "needed"
	// Reserve says that the VM is kept free for losses.
	Reserve Role = "reserve"
	// Surplus says that neither needs the VM.
	Surplus Role = "surplus"
	// Absent says that the VM is no capacity at the moment.
	Absent Role = "absent"
)

// Assignment is the role of one VM, and why.
type Assignment struct {
	VM     string `json:"vm"`
	Pool   string `json:"pool"`
	Role   Role   `json:"role"`
	Reason string `json:"reason"`
}

// PoolReserve is the reserve of one pool.
type PoolReserve struct {
	Pool string `json:"pool"`
	// NeededSlots is the larger of the promise and the observed use.
	NeededSlots int `json:"needed_slots"`
	NeededVMs   int `json:"needed_vms"`
	ReserveVMs  int `json:"reserve_vms"`
	SurplusVMs  int `json:"surplus_vms"`
	// Shares says that the reserve of the spare pool covers this pool.
	Shares bool `json:"shares"`
}

// Margin is how far a service is from breaking its budget.
type Margin struct {
	Service string `json:"service"`
	Pool    string `json:"pool"`
	// PromisedSlots is the service's budget, ServingSlots what its pool
	// serves with now.
	PromisedSlots int `json:"promised_slots"`
	ServingSlots  int `json:"serving_slots"`
	// MarginSlots is what the pool has above its promises after the losses
	// it has to carry; below 0 a further loss may break the budget.
	MarginSlots int `json:"margin_slots"`
}

// Result is the capacity plan.
type Result struct {
	Pools       []PoolReserve `json:"pools"`
	Margins     []Margin      `json:"margins"`
	Assignments []Assignment  `json:"assignments"`
	// ReserveVMs is the reserve of all pools, LowerBoundVMs what no plan
	// can do with less.
	ReserveVMs    int `json:"reserve_vms"`
	LowerBoundVMs int `json:"lower_bound_vms"`
	// Uncovered names losses that the fleet cannot carry at the moment.
	Uncovered []string `json:"uncovered,omitempty"`
}

// member is one VM with its role.
type member struct {
	vm     *plan.VM
	role   Role
	reason string
}

// poolState is one pool while the reserve is planned.
type poolState struct {
	name      string
	need      int
	tolerance fleet.Tolerance
	shares    bool
	members   []*member
	kept      int
	// byRack holds the kept slots of each rack, rackTotal those of all pools.
	byRack    map[string]int
	rackTotal map[string]int
	// largest is the size of the pool's largest VM.
	largest int
}

// planner plans the reserve of one snapshot.
type planner struct {
	in    *plan.Input
	pools map[string]*poolState
	order []*poolState
	spare *poolState
	racks []string
	// rackMembers holds the pools that each rack has VMs of.
	rackPools map[string][]*poolState
}

// Plan returns the capacity plan of a snapshot.
func Plan(in *plan.Input) Result {
	p := newPlanner(in)
	for _, pool := range p.order {
		p.chooseNeeded(pool)
	}
	uncovered := p.chooseReserve()
	p.dropIdle()
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

// addUse raises a pool's need to its observed use where that is above the
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

// mayShare says whether all promising services of a pool may spill.
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
		one := &member{vm: vm, role: Surplus}
		if !vm.Counted() {
			one.role = Absent
			one.reason = "the VM is " + string(vm.Phase) + " and not seen live"
		}
		pool.members = append(pool.members, one)
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

func (s *poolState) keep(one *member, role Role, reason string) {
	one.role, one.reason = role, reason
	s.kept += one.vm.Slots
	s.byRack[one.vm.Rack] += one.vm.Slots
	s.rackTotal[one.vm.Rack] += one.vm.Slots
}

func (s *poolState) release(one *member) {
	one.role, one.reason = Surplus, ""
	s.kept -= one.vm.Slots
	s.byRack[one.vm.Rack] -= one.vm.Slots
	s.rackTotal[one.vm.Rack] -= one.vm.Slots
}

// free returns the pool's best VM that is not kept: one in the rack with
// the fewest kept slots of the pool, and then of all pools.
func (s *poolState) free() *member {
	var best *member
	for _, one := range s.members {
		if one.role != Surplus {
			continue
		}
		if best == nil || s.emptier(one.vm.Rack, best.vm.Rack) {
			best = one
		}
	}
	return best
}

func (s *poolState) emptier(a, b string) bool {
	if s.byRack[a] != s.byRack[b] {
		return s.byRack[a] < s.byRack[b]
	}
	return s.rackTotal[a] < s.rackTotal[b]
}

// chooseNeeded keeps VMs for the promise and the use, spread over racks.
func (p *planner) chooseNeeded(pool *poolState) {
	for pool.kept < pool.need {
		one := pool.free()
		if one == nil {
			return
		}
		pool.keep(one, Needed, "carries the promised slots and the observed use of pool "+pool.name)
	}
}

// chooseReserve keeps further VMs until every tolerated loss is carried.
// It returns the losses that cannot be.
func (p *planner) chooseReserve() []string {
	var uncovered []string
	for _, loss := range p.losses() {
		for {
			short := p.evaluate(loss)
			if short.slots == 0 {
				break
			}
			pool, one := p.bestReserve(short)
			if one == nil {
				uncovered = append(uncovered, loss.String())
				break
			}
			pool.keep(one, Reserve, "kept for the loss of "+loss.String())
		}
	}
	return uncovered
}

// bestReserve picks where to keep one more VM: in the spare pool if the
// pool that is short shares it, else in that pool.
func (p *planner) bestReserve(short shortage) (*poolState, *member) {
	if short.shared {
		if one := p.spare.free(); one != nil {
			return p.spare, one
		}
	}
	pools := slices.Clone(short.pools)
	slices.SortStableFunc(pools, func(a, b *poolState) int { return cmp.Compare(b.largest, a.largest) })
	for _, pool := range pools {
		if one := pool.free(); one != nil {
			return pool, one
		}
	}
	return nil, nil
}

// dropIdle releases reserve that later choices have made idle.
func (p *planner) dropIdle() {
	losses := p.losses()
	for _, pool := range p.order {
		relevant := p.lossesOf(pool, losses)
		for _, one := range pool.members {
			if one.role == Reserve {
				p.tryRelease(pool, one, relevant)
			}
		}
	}
}

// tryRelease releases a VM unless a loss is then carried less.
func (p *planner) tryRelease(pool *poolState, one *member, losses []loss) {
	reason := one.reason
	before := p.shortSlots(losses)
	pool.release(one)
	if p.shortSlots(losses) > before {
		pool.keep(one, Reserve, reason)
	}
}

// lossesOf returns the losses that the reserve of a pool can matter for. A
// pool that neither lends nor borrows stands for itself alone.
func (p *planner) lossesOf(pool *poolState, losses []loss) []loss {
	if pool == p.spare || pool.shares {
		return losses
	}
	var own []loss
	for _, l := range losses {
		if len(l.racks) == 0 || slices.ContainsFunc(l.racks, func(rack string) bool { return pool.byRack[rack] > 0 }) {
			own = append(own, l)
		}
	}
	return own
}

func (p *planner) shortSlots(losses []loss) int {
	total := 0
	for _, loss := range losses {
		total += p.evaluate(loss).slots
	}
	return total
}
