package placement

import "arbutusward.example/arbutusward/internal/version/workload"

// homeZone returns the availability zone that gets the tasks of a group as far as
// they fit. A step ends with its last task, so that a step that is spread over all
// zones is held up by the loss of any of them. It is the zone of the step's
// executing tasks or, if there are none, the first zone with room for all tasks
// when the workers are filled in order of their free capacity, or else the zone
// with the most room. It returns "" if the zones are unknown or do not matter.
func (p *pool) homeZone(g *Group) string {
	if g.Zone != "" || g.Total == 1 {
		return g.Zone
	}
	room := map[string]int{}
	best := ""
	for i := p.firstWithCPU(g.Charge.MilliCPU); i < len(p.byFree); i++ {
		w := p.byFree[i]
		room[w.Zone] += fitting(w.Free, g.Charge, len(g.Indexes))
		if room[w.Zone] >= len(g.Indexes) {
			return w.Zone
		}
		if room[w.Zone] > room[best] {
			best = w.Zone
		}
	}
	return best
}

// fitting returns how many tasks fit into the free capacity, up to a limit.
func fitting(free, charge workload.Resources, limit int) int {
	if !free.Fits(charge) {
		return 0
	}
	count := int64(limit)
	if charge.MilliCPU > 0 {
		count = min(count, free.MilliCPU/charge.MilliCPU)
	}
	if charge.MemoryMB > 0 {
		count = min(count, free.MemoryMB/charge.MemoryMB)
	}
	if charge.GPU > 0 {
		count = min(count, free.GPU/charge.GPU)
	}
	return int(count)
}
