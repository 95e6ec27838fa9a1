package rebalance

import (
	"cmp"
	"slices"
)

// SelectDrains returns the VMs to drain so that they can move to pools that are
// still short of VMs after the planned moves. It handles a pool whose load has
// fallen but is spread over all its VMs, so that none of them is idle. Surplus
// VMs are selected, least loaded first, as long as the rest of the pool has
// capacity for their tasks.
func SelectDrains(pools []Pool, vms []VM, moves []Move) []string {
	shortfall, surplus := shortfallAndSurplus(pools, vms, moves)
	var selected []string
	for _, pool := range pools {
		if shortfall <= 0 {
			break
		}
		if surplus[pool.Name] <= 0 {
			continue
		}
		from := selectFromPool(pool, vms, min(shortfall, surplus[pool.Name]))
		shortfall -= len(from)
		selected = append(selected, from...)
	}
	return selected
}

// IsShort reports whether pools are still short of VMs after the moves. Otherwise
// SelectDrains selects none.
func IsShort(pools []Pool, vms []VM, moves []Move) bool {
	shortfall, _ := shortfallAndSurplus(pools, vms, moves)
	return shortfall > 0
}

// shortfallAndSurplus returns the total number of VMs that pools are short of
// after the moves, and by pool the number of VMs beyond the desired ones, not
// counting movable VMs.
func shortfallAndSurplus(pools []Pool, vms []VM, moves []Move) (shortfall int, surplus map[string]int) {
	serving, movable := map[string]int{}, map[string]int{}
	for _, vm := range vms {
		if vm.Serving {
			serving[vm.Pool]++
		}
		if vm.Serving && vm.Movable {
			movable[vm.Pool]++
		}
	}
	for _, m := range moves {
		serving[m.From]--
		movable[m.From]--
		serving[m.To]++
	}
	surplus = map[string]int{}
	for _, pool := range pools {
		if pool.Standby {
			continue
		}
		shortfall += max(0, pool.Desired-serving[pool.Name])
		surplus[pool.Name] = pool.yieldable(serving[pool.Name]) - max(0, movable[pool.Name])
	}
	return shortfall, surplus
}

// selectFromPool selects up to count VMs of a pool. A pool that yields VMs has no room for
// the tasks of others: those that execute end, and no new ones start.
func selectFromPool(pool Pool, vms []VM, count int) []string {
	var candidates []VM
	free := 0.0
	for _, vm := range vms {
		if vm.Pool != pool.Name || !vm.Serving {
			continue
		}
		free += 1 - vm.Load
		if vm.Drainable && !vm.Movable {
			candidates = append(candidates, vm)
		}
	}
	order := compareDrainOrder
	if pool.Yields {
		order = compareYieldOrder
	}
	slices.SortFunc(candidates, order)
	var selected []string
	for _, vm := range candidates {
		// The load of the VM must fit into the free capacity of the others.
		free -= 1 - vm.Load
		fits := free*usableFreeShare >= vm.Load
		if len(selected) == count || !fits && (!pool.Yields || vm.LongRunning) {
			break
		}
		free -= vm.Load
		if vm.LongRunning {
			// Long-running tasks are drained from one VM at a time, so that
			// the next selection knows where they were placed.
			return append(selected, vm.ID)
		}
		selected = append(selected, vm.ID)
	}
	return selected
}

// compareDrainOrder orders VMs without long-running tasks first, then by
// increasing load.
func compareDrainOrder(a, b VM) int {
	if a.LongRunning != b.LongRunning {
		if b.LongRunning {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
}

// compareYieldOrder orders VMs without long-running tasks first, then by the time until they
// are idle.
func compareYieldOrder(a, b VM) int {
	if a.LongRunning != b.LongRunning {
		return compareDrainOrder(a, b)
	}
	return cmp.Or(cmp.Compare(a.IdleIn, b.IdleIn), compareDrainOrder(a, b))
}

// usableFreeShare is the share of the free capacity that tasks of any size can
// use despite fragmentation.
const usableFreeShare = 0.7
