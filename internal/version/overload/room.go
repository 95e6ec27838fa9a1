package overload

// PoolSize is the number of VMs of a pool.
type PoolSize struct {
	// Serving counts those that accept tasks, and Idle those that can move to another
	// pool at once because they serve nowhere.
	Serving, Idle int
	// Desired is the number that the load needs.
	Desired int
}

// PlannedVMs returns the number of VMs that each pool is about to have: what it has, and
// of what it needs besides as much as the other pools can spare. The leader moves VMs
// between pools within a few seconds. If several pools are short, each is
// credited with all that can be spared, in favor of accepting jobs.
func PlannedVMs(pools map[string]PoolSize) map[string]int {
	spare := 0
	for _, p := range pools {
		spare += p.spare()
	}
	planned := make(map[string]int, len(pools))
	for name, p := range pools {
		missing := max(0, p.Desired-p.Serving)
		planned[name] = p.Serving + min(missing, spare-p.spare()+p.Idle)
	}
	return planned
}

func (p PoolSize) spare() int { return p.Idle + max(0, p.Serving-p.Desired) }
