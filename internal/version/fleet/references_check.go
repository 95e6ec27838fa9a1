package fleet

import "fmt"

// checkSpill reports services that may spill although there is no spare pool,
// or whose home pool is the spare pool.
func (v *validator) checkSpill() {
	spare := ""
	for _, pool := range v.document.Pools {
		if pool.Spare {
			spare = pool.Name
		}
	}
	for i, service := range v.document.Services {
		path := fmt.Sprintf("/services/%d/spill", i)
		switch {
		case !service.Spill:
		case spare == "":
			v.problem(path, "service %q may spill, but no pool is the spare", service.Name)
		case spare == service.Pool:
			v.problem(path, "service %q has its home in the spare pool %q and can't spill onto it", service.Name, spare)
		}
	}
}

// checkWavePools reports pools that a wave lists twice.
func (v *validator) checkWavePools() {
	for i, wave := range v.document.Waves {
		seen := map[string]bool{}
		for j, pool := range wave.Pools {
			if seen[pool] {
				v.problem(fmt.Sprintf("/waves/%d/pools/%d", i, j), "wave %q names pool %q twice", wave.Name, pool)
			}
			seen[pool] = true
		}
	}
}
