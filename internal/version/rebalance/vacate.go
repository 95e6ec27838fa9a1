package rebalance

import (
	"cmp"
	"slices"
)

// Vacate returns the VMs that are to be emptied, so that they can move to
// pools that lack VMs after the moves of a plan. It answers a pool whose
// load has fallen, with what is left spread over VMs that others need: it
// gives what it does not want, the least loaded VMs first, as far as the
// rest of the pool has room for what they hold.
func Vacate(pools []Pool, vms []VM, moves []Move) []string {
	lack, surplus := balance(pools, vms, moves)
	var chosen []string
	for _, pool := range pools {
		if lack <= 0 {
			break
		}
		if surplus[pool.Name] <= 0 {
			continue
		}
		from := vacateFrom(pool.Name, vms, min(lack, surplus[pool.Name]))
		lack -= len(from)
		chosen = append(chosen, from...)
	}
	return chosen
}

// balance returns the number of VMs that pools lack after the moves, and
// what each of the others has beyond what it wants, without its free VMs.
func balance(pools []Pool, vms []VM, moves []Move) (lack int, surplus map[string]int) {
	serving, free := map[string]int{}, map[string]int{}
	for _, vm := range vms {
		if vm.Serves {
			serving[vm.Pool]++
		}
		if vm.Serves && vm.Free {
			free[vm.Pool]++
		}
	}
	for _, m := range moves {
		serving[m.From]--
		free[m.From]--
		serving[m.To]++
	}
	surplus = map[string]int{}
	for _, pool := range pools {
		if pool.Standby {
			continue
		}
		lack += max(0, pool.Want-serving[pool.Name])
		surplus[pool.Name] = serving[pool.Name] - pool.Want - max(0, free[pool.Name])
	}
	return lack, surplus
}

// vacateFrom chooses up to count VMs of a pool.
func vacateFrom(pool string, vms []VM, count int) []string {
	var candidates []VM
	room := 0.0
	for _, vm := range vms {
		if vm.Pool != pool || !vm.Serves {
			continue
		}
		room += 1 - vm.Load
		if vm.Vacatable && !vm.Free {
			candidates = append(candidates, vm)
		}
	}
	slices.SortFunc(candidates, vacateOrder)
	var chosen []string
	for _, vm := range candidates {
		// What the VM holds must fit into the room of the others.
		room -= 1 - vm.Load
		if len(chosen) == count || room*vacateFill < vm.Load {
			break
		}
		room -= vm.Load
		if vm.Lasting {
			// One at a time: the next choice sees where its tasks went.
			return append(chosen, vm.ID)
		}
		chosen = append(chosen, vm.ID)
	}
	return chosen
}

// vacateOrder puts VMs without long-running tasks first, then the least
// loaded ones.
func vacateOrder(a, b VM) int {
	if a.Lasting != b.Lasting {
		if b.Lasting {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
}

// vacateFill is the share of the room that tasks of all sizes find.
const vacateFill = 0.7
