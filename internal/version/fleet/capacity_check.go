package fleet

import "fmt"

// checkCapacity reports budgets that the declared VMs cannot carry, and
// waves that could never take a VM out.
func (v *validator) checkCapacity() {
	promised := map[string]int{}
	for _, service := range v.document.Services {
		promised[service.Pool] += service.Budget.PromisedSlots
	}
	left := map[string]int{}
	for i, pool := range v.document.Pools {
		total, lost := v.poolCapacity(pool)
		left[pool.Name] = total - lost
		if left[pool.Name] < promised[pool.Name] {
			v.problem(fmt.Sprintf("/pools/%d", i),
				"pool %q promises %d slots but keeps %d of %d after the tolerated losses (%d racks and %d VMs)",
				pool.Name, promised[pool.Name], left[pool.Name], total, pool.Tolerate.Racks, pool.Tolerate.VMs)
		}
	}
	if len(v.problems) > 0 {
		return
	}
	v.checkWavesEnd(promised)
}

// checkWavesEnd reports waves over pools that have no slot to give even
// when every VM is up.
func (v *validator) checkWavesEnd(promised map[string]int) {
	for i, wave := range v.document.Waves {
		for j, name := range wave.Pools {
			total, largest := v.poolTotal(name)
			if total > 0 && total-largest < promised[name] {
				v.problem(fmt.Sprintf("/waves/%d/pools/%d", i, j),
					"wave %q can't end: pool %q promises %d of %d slots and has no VM of %d slots to spare",
					wave.Name, name, promised[name], total, largest)
			}
		}
	}
}

// poolTotal returns the slots of a pool and of its largest VM.
func (v *validator) poolTotal(pool string) (total, largest int) {
	for _, vm := range v.document.VMs {
		if vm.Pool != pool {
			continue
		}
		slots := vm.Slots
		if slots == 0 {
			slots = DefaultSlots
		}
		total += slots * max(vm.Count, 1)
		largest = max(largest, slots)
	}
	return total, largest
}

// poolCapacity returns the slots of a pool and those lost with its largest
// tolerated racks and, after them, its largest remaining VMs.
func (v *validator) poolCapacity(pool Pool) (total, lost int) {
	byRack := map[string][]int{}
	for _, vm := range v.document.VMs {
		if vm.Pool != pool.Name {
			continue
		}
		slots := vm.Slots
		if slots == 0 {
			slots = DefaultSlots
		}
		for range max(vm.Count, 1) {
			byRack[vm.Rack] = append(byRack[vm.Rack], slots)
			total += slots
		}
	}
	return total, WorstLoss(byRack, pool.Tolerate)
}
