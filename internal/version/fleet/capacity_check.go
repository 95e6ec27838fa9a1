package fleet

import "fmt"

// checkCapacity reports budgets that exceed the capacity of the declared VMs,
// and waves that could never take a VM out of service.
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
	v.checkWavesCanEnd(promised)
}

// checkWavesCanEnd reports waves over pools that can't spare their largest VM
// even if every VM is up.
func (v *validator) checkWavesCanEnd(promised map[string]int) {
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

// poolTotal returns the total slots of a pool and the slots of its largest VM.
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

// poolCapacity returns the total slots of a pool and the slots that are lost
// in the worst tolerated loss, as computed by WorstLoss.
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
