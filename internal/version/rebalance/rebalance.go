// Package rebalance decides which VMs move between pools. It is pure.
//
// It answers load that rises and falls by turns, beyond one pool and within
// the fleet: a pool that wants more gets VMs that are switched off, then
// idle ones of pools that want less; idle VMs that no pool wants are switched
// off. A VM on which anything executes is never moved.
package rebalance

import (
	"cmp"
	"slices"
)

// Pool is the VMs of one service.
type Pool struct {
	Name string
	// Standby pools hold VMs that are switched off.
	Standby bool
	// Want is the number of VMs that the pool's load needs soon: what is
	// beyond it may go to a pool that lacks some. Keep, at least Want, is the
	// number below which none is switched off.
	Want, Keep int
	// Learning pools lend VMs to others and switch none off: what they kept
	// before is not known.
	Learning bool
}

// VM is one machine.
type VM struct {
	ID   string
	Pool string
	// Serves says that the VM takes tasks in its pool, now or soon.
	Serves bool
	// Free says that nothing executes on the VM and that it may move.
	Free bool
	// Load is the share of the VM that is in use; Vacatable says that what
	// executes there ends soon or can go on elsewhere.
	Load      float64
	Vacatable bool
	// Lasting VMs hold long-running tasks, which leave one after the other.
	Lasting bool
}

// Move sends a VM to a pool.
type Move struct {
	VM, From, To string
}

// planner is the state of one Plan.
type planner struct {
	pools   []Pool
	serving map[string]int
	// free holds the movable VMs of each pool.
	free  map[string][]string
	moves []Move
}

// Plan returns the moves that bring pools to what they want.
func Plan(pools []Pool, vms []VM) []Move {
	p := &planner{pools: slices.Clone(pools), serving: map[string]int{}, free: map[string][]string{}}
	slices.SortFunc(p.pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	sorted := slices.SortedFunc(slices.Values(vms), func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	for _, vm := range sorted {
		if vm.Serves {
			p.serving[vm.Pool]++
		}
		if vm.Free {
			p.free[vm.Pool] = append(p.free[vm.Pool], vm.ID)
		}
	}
	for p.fillOne() {
	}
	p.park()
	return p.moves
}

// fillOne gives one VM to the pool that lacks the largest share of what it
// wants, and says whether there was such a pool and a VM for it.
func (p *planner) fillOne() bool {
	needy := -1
	worst := 0.0
	for i := range p.pools {
		if share := p.lack(&p.pools[i]); share > worst {
			needy, worst = i, share
		}
	}
	if needy < 0 {
		return false
	}
	donor := p.donor()
	if donor == nil {
		return false
	}
	p.move(donor.Name, p.pools[needy].Name)
	return true
}

// lack is the share of its VMs that a pool is short of.
func (p *planner) lack(pool *Pool) float64 {
	if pool.Standby || pool.Want <= p.serving[pool.Name] {
		return 0
	}
	return float64(pool.Want-p.serving[pool.Name]) / float64(pool.Want)
}

// donor returns the pool that gives the next VM: a standby pool, or else the
// one with the most VMs beyond what it wants.
func (p *planner) donor() *Pool {
	var found *Pool
	most := 0
	for i := range p.pools {
		pool := &p.pools[i]
		if len(p.free[pool.Name]) == 0 {
			continue
		}
		if pool.Standby {
			return pool
		}
		if surplus := p.serving[pool.Name] - pool.Want; surplus > most {
			found, most = pool, surplus
		}
	}
	return found
}

// park switches off the VMs that no pool wants.
func (p *planner) park() {
	at := slices.IndexFunc(p.pools, func(pool Pool) bool { return pool.Standby })
	if at < 0 {
		return
	}
	standby := p.pools[at].Name
	for i := range p.pools {
		pool := &p.pools[i]
		for !pool.Standby && !pool.Learning && len(p.free[pool.Name]) > 0 && p.serving[pool.Name] > pool.Keep {
			p.move(pool.Name, standby)
		}
	}
}

// move takes the pool's last free VM.
func (p *planner) move(from, to string) {
	free := p.free[from]
	vm := free[len(free)-1]
	p.free[from] = free[:len(free)-1]
	p.serving[from]--
	p.serving[to]++
	p.moves = append(p.moves, Move{VM: vm, From: from, To: to})
}
