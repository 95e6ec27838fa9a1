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
	// tolerance is what the pool keeps in hand while VMs are taken out.
	tolerance fleet.Tolerance
	// counted holds the slots of each counted VM by rack.
	counted map[string][]int
	slots   int
	// out and lost count VMs of the pool that are taken out by a plan, and
	// those that are missing without one.
	out, lost int
	// zones counts the pool's VMs by availability zone.
	zones map[string]*zoneCount
}

// zoneCount counts the VMs of one pool in one availability zone.
type zoneCount struct {
	// serving VMs are counted as capacity.
	serving int
	// staying VMs are declared for the pool.
	staying int
}

// Gate decides whether VMs may leave their pools. It counts all that is
// down, draining, rebooting, settling or suspected, and what it has let go
// itself. It is not safe for concurrent use.
type Gate struct {
	pools map[string]*poolBudget
}

// NewGate returns the gate of a snapshot.
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
	whole := map[string]map[string][]int{}
	confirmed := map[string]int{}
	for i := range in.VMs {
		vm := &in.VMs[i]
		g.pool(vm.Pool).add(vm)
		addSlots(whole, vm)
		if vm.Phase == view.Lost || vm.Phase == view.Serving && vm.Health == Down {
			confirmed[vm.Pool]++
		}
	}
	for name, pool := range g.pools {
		pool.tolerance = attainable(whole[name], pool.promised, pool.declared)
		// A loss that is a fact has used up one of the tolerated VMs.
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
		p.lost++
	default:
		p.out++
	}
}

// attainable returns the strongest part of the declared tolerance under
// which the pool, with every VM up, can spare its largest VM. A pool that is
// sized without a VM to spare could never be maintained under all of it.
func attainable(racks map[string][]int, promised int, declared fleet.Tolerance) fleet.Tolerance {
	candidates := []fleet.Tolerance{declared, {Racks: declared.Racks}, {VMs: declared.VMs}}
	for _, tolerance := range candidates {
		if canSpareOne(racks, promised, tolerance) {
			return tolerance
		}
	}
	return fleet.Tolerance{}
}

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
	return total-slots-fleet.WorstLoss(without(racks, rack, slots), tolerance) >= promised
}

// without copies racks and leaves out one VM of a size.
func without(racks map[string][]int, rack string, slots int) map[string][]int {
	copied := maps.Clone(racks)
	values := slices.Clone(racks[rack])
	if i := slices.Index(values, slots); i >= 0 {
		values = slices.Delete(values, i, i+1)
	}
	copied[rack] = values
	return copied
}

// margin returns the slots above the promise after the tolerated losses.
func (p *poolBudget) margin() int {
	return p.slots - fleet.WorstLoss(p.counted, p.tolerance) - p.promised
}

// marginWithout returns the margin once a VM has left.
func (p *poolBudget) marginWithout(vm *VM) int {
	if !vm.Counted() {
		return p.margin()
	}
	rest := without(p.counted, vm.Rack, vm.Slots)
	return p.slots - vm.Slots - fleet.WorstLoss(rest, p.tolerance) - p.promised
}

// CanRemove says whether a VM may stop serving its pool, and why not.
func (g *Gate) CanRemove(vm *VM) (reason string, ok bool) {
	pool := g.pool(vm.Pool)
	if pool.lastInZone(vm) {
		return fmt.Sprintf("it is the last VM of pool %s that serves in zone %s", vm.Pool, vm.Zone), false
	}
	margin := pool.marginWithout(vm)
	// A VM that is lost carries nothing, and has to be replaced above all
	// where the pool is short.
	if pool.promised == 0 || margin >= 0 || vm.Health == Down {
		return "", true
	}
	return fmt.Sprintf("pool %s promises %d slots and would be short of %d after the losses it carries (%d racks, %d VMs); %d of its VMs are out by plan and %d without",
		vm.Pool, pool.promised, -margin, pool.tolerance.Racks, pool.tolerance.VMs, pool.out, pool.lost), false
}

// lastInZone says that no other VM of the pool would serve in the VM's zone
// though there are others: entries dispatch within their own zone only, so
// the zone's callers would be refused for a while. A pool with one VM in a
// zone can't be maintained without that.
func (p *poolBudget) lastInZone(vm *VM) bool {
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

// Remove notes that a VM stops serving its pool.
func (g *Gate) Remove(vm *VM) {
	pool := g.pool(vm.Pool)
	if vm.Counted() {
		pool.counted = without(pool.counted, vm.Rack, vm.Slots)
		pool.slots -= vm.Slots
		pool.zone(vm.Zone).serving--
	}
	pool.out++
}

// Restore notes that a VM serves its pool again.
func (g *Gate) Restore(vm *VM) {
	pool := g.pool(vm.Pool)
	pool.out--
	if vm.Health != Up {
		return
	}
	pool.counted = maps.Clone(pool.counted)
	pool.counted[vm.Rack] = append(slices.Clone(pool.counted[vm.Rack]), vm.Slots)
	pool.slots += vm.Slots
	pool.zone(vm.Zone).serving++
}

// Margin returns the slots of a pool above its promise after the losses
// that it has to carry; below 0 the budget is not safe.
func (g *Gate) Margin(pool string) int { return g.pool(pool).margin() }

// Serving returns the counted slots of a pool.
func (g *Gate) Serving(pool string) int { return g.pool(pool).slots }
