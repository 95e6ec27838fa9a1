package plan

import (
	"fmt"
	"maps"
	"slices"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// poolBudget is the state of one pool's budget.
type poolBudget struct {
	promised int
	declared fleet.Tolerance
	// tolerance is the part of the declared tolerance that must still hold
	// while VMs are out of service.
	tolerance fleet.Tolerance
	// counted holds the slots of each counted VM by rack; slots is their sum.
	counted map[string][]int
	slots   int
	// plannedOut is the number of VMs that a planner has taken out of service,
	// unplannedOut the number of VMs that are missing for another reason.
	plannedOut, unplannedOut int
	// zones counts the pool's VMs by availability zone.
	zones map[string]*zoneCount
}

// zoneCount counts the VMs of one pool in one availability zone.
type zoneCount struct {
	// serving is the number of VMs that count as capacity.
	serving int
	// staying is the number of VMs that the document declares for the pool.
	staying int
}

// Gate decides whether a VM may be taken out of service without a breach of
// its pool's budget. VMs that are down, draining, rebooting, settling or
// suspected do not count as capacity, nor do VMs that were taken out
// through the gate. A Gate is not safe for concurrent use.
type Gate struct {
	pools map[string]*poolBudget
}

// NewGate returns the gate for a snapshot.
func NewGate(in *Input) *Gate {
	g := &Gate{pools: map[string]*poolBudget{}}
	for pool, promised := range Promised(in.Document) {
		g.pool(pool).promised = promised
	}
	if in.Document != nil {
		for _, pool := range in.Document.Pools {
			g.pool(pool.Name).declared = pool.Tolerate
		}
	}
	allSlots := map[string]map[string][]int{}
	confirmed := map[string]int{}
	for i := range in.VMs {
		vm := &in.VMs[i]
		g.pool(vm.Pool).add(vm)
		addSlots(allSlots, vm)
		if vm.Phase == view.Lost || vm.Phase == view.Serving && vm.Health == Down {
			confirmed[vm.Pool]++
		}
	}
	for name, pool := range g.pools {
		pool.tolerance = attainable(allSlots[name], pool.promised, pool.declared)
		// Each confirmed loss uses up one of the tolerated VMs.
		pool.tolerance.VMs = max(0, pool.tolerance.VMs-confirmed[name])
	}
	return g
}

func addSlots(pools map[string]map[string][]int, vm *VM) {
	if pools[vm.Pool] == nil {
		pools[vm.Pool] = map[string][]int{}
	}
	pools[vm.Pool][vm.Rack] = append(pools[vm.Pool][vm.Rack], vm.Slots)
}

func (g *Gate) pool(name string) *poolBudget {
	pool := g.pools[name]
	if pool == nil {
		pool = &poolBudget{counted: map[string][]int{}, zones: map[string]*zoneCount{}}
		g.pools[name] = pool
	}
	return pool
}

func (p *poolBudget) zone(name string) *zoneCount {
	if p.zones[name] == nil {
		p.zones[name] = &zoneCount{}
	}
	return p.zones[name]
}

// add counts a VM of the pool.
func (p *poolBudget) add(vm *VM) {
	if vm.Desired == vm.Pool {
		p.zone(vm.Zone).staying++
	}
	if vm.Counted() {
		p.zone(vm.Zone).serving++
	}
	switch {
	case vm.Counted():
		p.counted[vm.Rack] = append(p.counted[vm.Rack], vm.Slots)
		p.slots += vm.Slots
	case vm.Phase == view.Serving || vm.Phase == view.Lost:
		p.unplannedOut++
	default:
		p.plannedOut++
	}
}

// attainable returns the strongest part of the declared tolerance under which
// the pool, with every VM up, can spare its largest VM. Without this
// reduction, a pool that is sized without a spare VM could never be drained
// for maintenance.
func attainable(racks map[string][]int, promised int, declared fleet.Tolerance) fleet.Tolerance {
	candidates := []fleet.Tolerance{declared, {Racks: declared.Racks}, {VMs: declared.VMs}}
	for _, tolerance := range candidates {
		if canSpareOne(racks, promised, tolerance) {
			return tolerance
		}
	}
	return fleet.Tolerance{}
}

// canSpareOne reports whether the pool keeps its promise through the tolerated
// losses after its largest VM is taken out of service.
func canSpareOne(racks map[string][]int, promised int, tolerance fleet.Tolerance) bool {
	rack, index, slots := "", -1, 0
	total := 0
	for name, values := range racks {
		for i, value := range values {
			total += value
			if value > slots || value == slots && name < rack {
				rack, index, slots = name, i, value
			}
		}
	}
	if index < 0 {
		return false
	}
	return total-slots-fleet.WorstLoss(withoutVM(racks, rack, slots), tolerance) >= promised
}

// withoutVM returns a copy of racks without one VM of the given size.
func withoutVM(racks map[string][]int, rack string, slots int) map[string][]int {
	copied := maps.Clone(racks)
	values := slices.Clone(racks[rack])
	if i := slices.Index(values, slots); i >= 0 {
		values = slices.Delete(values, i, i+1)
	}
	copied[rack] = values
	return copied
}

// margin returns the slots above the promise that remain after the worst
// tolerated losses.
func (p *poolBudget) margin() int {
	return p.slots - fleet.WorstLoss(p.counted, p.tolerance) - p.promised
}

// marginWithoutVM returns the margin after a VM is taken out of service.
func (p *poolBudget) marginWithoutVM(vm *VM) int {
	if !vm.Counted() {
		return p.margin()
	}
	rest := withoutVM(p.counted, vm.Rack, vm.Slots)
	return p.slots - vm.Slots - fleet.WorstLoss(rest, p.tolerance) - p.promised
}

// CanTakeOut reports whether a VM may be taken out of service. If not, reason
// explains why.
func (g *Gate) CanTakeOut(vm *VM) (reason string, ok bool) {
	pool := g.pool(vm.Pool)
	if pool.isLastInZone(vm) {
		return fmt.Sprintf("it is the last VM of pool %s that serves in zone %s", vm.Pool, vm.Zone), false
	}
	margin := pool.marginWithoutVM(vm)
	// A lost VM provides no capacity, so taking it out cannot breach a
	// budget. Its replacement is most urgent in a pool that is short of slots.
	if pool.promised == 0 || margin >= 0 || vm.Health == Down {
		return "", true
	}
	return fmt.Sprintf("pool %s promises %d slots and would be short of %d after the losses it carries (%d racks, %d VMs); %d of its VMs are out by plan and %d without",
		vm.Pool, pool.promised, -margin, pool.tolerance.Racks, pool.tolerance.VMs, pool.plannedOut, pool.unplannedOut), false
}

// isLastInZone reports whether the VM is the only one of the pool that serves
// in its zone although the document declares other VMs of the pool there.
// Entries dispatch only within their own zone, so callers in the zone would be
// refused until another VM serves. A pool with a single VM in a zone can't be
// maintained without such a gap, so its VM is not held back.
func (p *poolBudget) isLastInZone(vm *VM) bool {
	if !vm.Counted() {
		return false
	}
	zone := p.zone(vm.Zone)
	others := zone.staying
	if vm.Desired == vm.Pool {
		others--
	}
	return zone.serving <= 1 && others > 0
}

// TakeOut records that a VM stops serving its pool.
func (g *Gate) TakeOut(vm *VM) {
	pool := g.pool(vm.Pool)
	if vm.Counted() {
		pool.counted = withoutVM(pool.counted, vm.Rack, vm.Slots)
		pool.slots -= vm.Slots
		pool.zone(vm.Zone).serving--
	}
	pool.plannedOut++
}

// PutBack records that a VM serves its pool again.
func (g *Gate) PutBack(vm *VM) {
	pool := g.pool(vm.Pool)
	pool.plannedOut--
	if vm.Health != Up {
		return
	}
	pool.counted = maps.Clone(pool.counted)
	pool.counted[vm.Rack] = append(slices.Clone(pool.counted[vm.Rack]), vm.Slots)
	pool.slots += vm.Slots
	pool.zone(vm.Zone).serving++
}

// Margin returns the slots of a pool above its promise after the losses that
// it must tolerate. A negative margin means that such losses would breach the
// budget.
func (g *Gate) Margin(pool string) int { return g.pool(pool).margin() }

// Serving returns the slots of a pool's VMs that count as capacity.
func (g *Gate) Serving(pool string) int { return g.pool(pool).slots }
