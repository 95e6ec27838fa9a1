package capacity

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
)

// Role is the purpose that a VM serves.
type Role string

// Roles of a VM.
const (
	// Needed means that the promised slots or the observed use require the VM.
	Needed Role = "needed"
	// Reserve means that the VM is kept free for losses.
	Reserve Role = "reserve"
	// Surplus means that the VM is required for neither.
	Surplus Role = "surplus"
	// Absent means that the VM provides no capacity at present.
	Absent Role = "absent"
)

// Assignment is the role of one VM and the reason for it.
type Assignment struct {
	VM     string `json:"vm"`
	Pool   string `json:"pool"`
	Role   Role   `json:"role"`
	Reason string `json:"reason"`
}

// PoolReserve is the reserve plan of one pool.
type PoolReserve struct {
	Pool string `json:"pool"`
	// NeededSlots is the larger of the promise and the observed use.
	NeededSlots int `json:"needed_slots"`
	NeededVMs   int `json:"needed_vms"`
	ReserveVMs  int `json:"reserve_vms"`
	SurplusVMs  int `json:"surplus_vms"`
	// Shares is true if the reserve of the spare pool covers this pool.
	Shares bool `json:"shares"`
}

// Margin is a service's distance from a breach of its budget.
type Margin struct {
	Service string `json:"service"`
	Pool    string `json:"pool"`
	// PromisedSlots is the service's budget, ServingSlots the slots of its
	// pool that serve at present.
	PromisedSlots int `json:"promised_slots"`
	ServingSlots  int `json:"serving_slots"`
	// MarginSlots is the number of slots that the pool has above its promises
	// after the losses that it must tolerate. A negative value means that a
	// further loss may breach the budget.
	MarginSlots int `json:"margin_slots"`
}

// Result is the capacity plan.
type Result struct {
	Pools       []PoolReserve `json:"pools"`
	Margins     []Margin      `json:"margins"`
	Assignments []Assignment  `json:"assignments"`
	// ReserveVMs is the reserve of all pools, LowerBoundVMs a lower bound on
	// the reserve of any plan.
	ReserveVMs    int `json:"reserve_vms"`
	LowerBoundVMs int `json:"lower_bound_vms"`
	// Uncovered describes the losses that the fleet cannot tolerate at
	// present.
	Uncovered []string `json:"uncovered,omitempty"`
}

// member is one VM with its role.
type member struct {
	vm     *plan.VM
	role   Role
	reason string
}

// poolState is the planner's state of one pool.
type poolState struct {
	name      string
	need      int
	tolerance fleet.Tolerance
	shares    bool
	members   []*member
	kept      int
	// byRack holds the pool's kept slots in each rack, rackTotal those of all
	// pools.
	byRack    map[string]int
	rackTotal map[string]int
	// largest is the number of slots of the pool's largest VM.
	largest int
}

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

// keep assigns a role to a VM and counts its slots as kept.
func (s *poolState) keep(m *member, role Role, reason string) {
	m.role, m.reason = role, reason
	s.kept += m.vm.Slots
	s.byRack[m.vm.Rack] += m.vm.Slots
	s.rackTotal[m.vm.Rack] += m.vm.Slots
}

// release makes a kept VM surplus again.
func (s *poolState) release(m *member) {
	m.role, m.reason = Surplus, ""
	s.kept -= m.vm.Slots
	s.byRack[m.vm.Rack] -= m.vm.Slots
	s.rackTotal[m.vm.Rack] -= m.vm.Slots
}

// nextSurplus returns the surplus VM to keep next: one in the rack with the
// fewest kept slots of this pool and, among those, with the fewest kept slots
// of all pools. It returns nil if there is none.
func (s *poolState) nextSurplus() *member {
	var best *member
	for _, m := range s.members {
		if m.role != Surplus {
			continue
		}
		if best == nil || s.hasFewerKeptSlots(m.vm.Rack, best.vm.Rack) {
			best = m
		}
	}
	return best
}

// hasFewerKeptSlots reports whether rack a holds fewer kept slots than rack b.
func (s *poolState) hasFewerKeptSlots(a, b string) bool {
	if s.byRack[a] != s.byRack[b] {
		return s.byRack[a] < s.byRack[b]
	}
	return s.rackTotal[a] < s.rackTotal[b]
}

// chooseNeeded keeps VMs for the promised slots and the observed use, spread
// over racks.
func (p *planner) chooseNeeded(pool *poolState) {
	for pool.kept < pool.need {
		m := pool.nextSurplus()
		if m == nil {
			return
		}
		pool.keep(m, Needed, "carries the promised slots and the observed use of pool "+pool.name)
	}
}

// chooseReserve keeps further VMs until every tolerated loss is covered. It
// returns the losses that cannot be covered.
func (p *planner) chooseReserve() []string {
	var uncovered []string
	for _, loss := range p.losses() {
		for {
			short := p.evaluate(loss)
			if short.slots == 0 {
				break
			}
			pool, m := p.bestReserve(short)
			if m == nil {
				uncovered = append(uncovered, loss.String())
				break
			}
			pool.keep(m, Reserve, "kept for the loss of "+loss.String())
		}
	}
	return uncovered
}

// bestReserve selects the next VM to keep: in the spare pool if a pool that is
// short shares its reserve, otherwise in a pool that is short.
func (p *planner) bestReserve(short shortage) (*poolState, *member) {
	if short.shared {
		if m := p.spare.nextSurplus(); m != nil {
			return p.spare, m
		}
	}
	pools := slices.Clone(short.pools)
	slices.SortStableFunc(pools, func(a, b *poolState) int { return cmp.Compare(b.largest, a.largest) })
	for _, pool := range pools {
		if m := pool.nextSurplus(); m != nil {
			return pool, m
		}
	}
	return nil, nil
}

// releaseRedundant releases reserve VMs that later choices have made
// redundant.
func (p *planner) releaseRedundant() {
	losses := p.losses()
	for _, pool := range p.order {
		relevant := p.relevantLosses(pool, losses)
		for _, m := range pool.members {
			if m.role == Reserve {
				p.tryRelease(pool, m, relevant)
			}
		}
	}
}

// tryRelease releases a VM unless that increases the total shortage after the
// losses.
func (p *planner) tryRelease(pool *poolState, m *member, losses []loss) {
	reason := m.reason
	before := p.shortSlots(losses)
	pool.release(m)
	if p.shortSlots(losses) > before {
		pool.keep(m, Reserve, reason)
	}
}

// relevantLosses returns the losses that can affect the reserve of a pool. A
// pool that neither lends nor borrows is affected only by losses in its own
// racks.
func (p *planner) relevantLosses(pool *poolState, losses []loss) []loss {
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

// shortSlots returns the sum of the shortages after the losses.
func (p *planner) shortSlots(losses []loss) int {
	total := 0
	for _, loss := range losses {
		total += p.evaluate(loss).slots
	}
	return total
}
