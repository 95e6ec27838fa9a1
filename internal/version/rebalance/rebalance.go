// Package rebalance decides which VMs move between pools. It does no I/O.
//
// The load of the pools rises and falls at different times: it may exceed the
// capacity of a single pool but not that of the fleet. A pool that is short of
// VMs receives powered-off VMs first, then idle VMs of pools with a surplus.
// Idle VMs that no pool needs are powered off. A VM that executes a task is
// never moved.
package rebalance

import (
	"cmp"
	"slices"
	"time"
)

// Pool describes the VMs of one service.
type Pool struct {
	Name string
	// Standby marks a pool of powered-off VMs.
	Standby bool
	// Desired is the number of VMs that the pool's load will need soon. VMs
	// beyond it may move to a pool that is short of VMs. Retain is at least
	// Desired; no VM is powered off while the pool has Retain VMs or fewer.
	Desired, Retain int
	// ForLoad is the part of Desired that the load itself needs.
	ForLoad int
	// Demand is the load, in VMs, of which Desired follows, by level. Least is the number of
	// VMs that the pool keeps whatever others need.
	Demand Demand
	Least  int
	// Yields is set if the pool has to give VMs to others although its load needs them.
	Yields bool
	// WarmingUp marks a pool that lends VMs to other pools but powers none
	// off, because its earlier peaks are not known.
	WarmingUp bool
}

// VM describes one machine.
type VM struct {
	ID   string
	Pool string
	// Serving is set if the VM accepts tasks in its pool now or will do so
	// soon.
	Serving bool
	// Movable is set if nothing executes on the VM and it may be moved.
	Movable bool
	// Load is the share of the VM's capacity that is in use.
	Load float64
	// Drainable is set if the tasks on the VM end soon or can continue on
	// another VM.
	Drainable bool
	// IdleIn is the expected time until the tasks on the VM have ended that can't continue
	// on another VM.
	IdleIn time.Duration
	// LongRunning is set if the VM executes long-running tasks, which have to
	// be moved off it one after the other.
	LongRunning bool
}

// Move moves a VM from one pool to another.
type Move struct {
	VM, From, To string
}

// planner holds the state of one call of Plan.
type planner struct {
	pools   []Pool
	serving map[string]int
	// movable lists the ids of the movable VMs by pool, in order for the pools in
	// sorted.
	movable map[string][]string
	sorted  map[string]bool
	moves   []Move
}

// Plan returns the moves that bring each pool closer to its desired size.
func Plan(pools []Pool, vms []VM) []Move {
	p := &planner{pools: slices.Clone(pools), serving: map[string]int{}, movable: map[string][]string{}, sorted: map[string]bool{}}
	slices.SortFunc(p.pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	for i := range vms {
		vm := &vms[i]
		if vm.Serving {
			p.serving[vm.Pool]++
		}
		if vm.Movable {
			p.movable[vm.Pool] = append(p.movable[vm.Pool], vm.ID)
		}
	}
	for p.fillLargestShortfall() {
	}
	p.powerOffSurplus()
	return p.moves
}

// fillLargestShortfall moves one VM to the pool with the largest relative
// shortfall. It returns false if no pool is short of VMs or no VM can be moved.
func (p *planner) fillLargestShortfall() bool {
	recipient := -1
	worst := 0.0
	for i := range p.pools {
		if share := p.shortfall(&p.pools[i]); share > worst {
			recipient, worst = i, share
		}
	}
	if recipient < 0 {
		return false
	}
	donor := p.donor()
	if donor == nil {
		return false
	}
	p.move(donor.Name, p.pools[recipient].Name)
	return true
}

// shortfall returns the share of its desired VMs that a pool does not have.
func (p *planner) shortfall(pool *Pool) float64 {
	if pool.Standby || pool.Desired <= p.serving[pool.Name] {
		return 0
	}
	return float64(pool.Desired-p.serving[pool.Name]) / float64(pool.Desired)
}

// donor returns the pool that the next VM is taken from: a standby pool, or
// else the pool with the largest surplus of VMs. It returns nil if there is
// none.
func (p *planner) donor() *Pool {
	var found *Pool
	most := 0
	for i := range p.pools {
		pool := &p.pools[i]
		if len(p.movable[pool.Name]) == 0 {
			continue
		}
		if pool.Standby {
			return pool
		}
		if surplus := pool.yieldable(p.serving[pool.Name]); surplus > most {
			found, most = pool, surplus
		}
	}
	return found
}

// powerOffSurplus moves the VMs that no pool retains to the standby pool.
func (p *planner) powerOffSurplus() {
	at := slices.IndexFunc(p.pools, func(pool Pool) bool { return pool.Standby })
	if at < 0 {
		return
	}
	standby := p.pools[at].Name
	for i := range p.pools {
		pool := &p.pools[i]
		for !pool.Standby && !pool.WarmingUp && len(p.movable[pool.Name]) > 0 && p.serving[pool.Name] > pool.Retain {
			p.move(pool.Name, standby)
		}
	}
}

// move moves the last movable VM of a pool, by id, to another pool.
func (p *planner) move(from, to string) {
	movable := p.movable[from]
	if !p.sorted[from] {
		slices.Sort(movable)
		p.sorted[from] = true
	}
	vm := movable[len(movable)-1]
	p.movable[from] = movable[:len(movable)-1]
	p.serving[from]--
	p.serving[to]++
	p.moves = append(p.moves, Move{VM: vm, From: from, To: to})
}
