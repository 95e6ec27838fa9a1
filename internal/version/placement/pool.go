package placement

import (
	"cmp"
	"slices"
	"sort"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// pool holds the workers of one service while tasks are placed.
type pool struct {
	// workers holds the workers without those that are isolated for suspects.
	workers  []*Worker
	isolated []*Worker
	// reserved is the set of jobs for whose suspects a worker is kept free.
	reserved map[string]bool
	// byFree holds the workers by free CPU and id, so that the best fit is found
	// without a look at each of them. It is nil unless it is up to date.
	byFree []*Worker
	// penalized is set if the caller prefers some workers to others.
	penalized bool
	// misfits lists charges that no worker has the free capacity for. Free
	// capacity only shrinks during a plan, so that with a long backlog most
	// groups are skipped without looking at the workers.
	misfits []workload.Resources
}

func (p *pool) add(w *Worker) {
	if w.Starting.Suspect {
		p.isolated = append(p.isolated, w)
		return
	}
	p.workers = append(p.workers, w)
	p.penalized = p.penalized || w.Penalty != 0
}

// knownNotToFit reports whether this charge or a smaller one did not fit on any
// worker before.
func (p *pool) knownNotToFit(charge workload.Resources) bool {
	for _, misfit := range p.misfits {
		if charge.Fits(misfit) {
			return true
		}
	}
	return false
}

// hasRoom reports whether the workers have the free capacity for one task of a group, or for
// a whole gang.
func (p *pool) hasRoom(g *Group) bool {
	tasks := int64(1)
	if g.Gang {
		tasks = int64(len(g.Indexes))
	}
	for _, w := range p.workers {
		if !eligible(g, w, nil) {
			continue
		}
		if tasks -= tasksOn(w, g); tasks <= 0 {
			return true
		}
	}
	return false
}

// tasksOn returns how many tasks of a group an eligible worker takes.
func tasksOn(w *Worker, g *Group) int64 {
	count := int64(g.Total)
	if g.MaxPerWorker > 0 {
		count = int64(g.MaxPerWorker - g.OnWorker[w.ID])
	}
	for _, r := range [...]struct{ free, need int64 }{{w.Free.MilliCPU, g.Charge.MilliCPU}, {w.Free.MemoryMB, g.Charge.MemoryMB}, {w.Free.GPU, g.Charge.GPU}} {
		if r.need > 0 {
			count = min(count, r.free/r.need)
		}
	}
	return max(1, count)
}

// place places the tasks of one group.
func (p *pool) place(g *Group) []Placement {
	if g.unconstrained() && !g.LongRunning && g.DataRack == "" && !p.penalized {
		return p.placeByFree(g)
	}
	plan := p.placeByScan(g)
	if len(plan) > 0 {
		p.byFree = nil
	}
	return plan
}

// placeByScan places the tasks of a group that some workers suit better than
// others.
func (p *pool) placeByScan(g *Group) []Placement {
	return placeOn(g, p.workers)
}

// placeOn places the tasks of a group on workers, if possible on one rack if the
// group asks for that.
func placeOn(g *Group, workers []*Worker) []Placement {
	if g.Gang && len(g.Indexes) < g.Total {
		return nil
	}
	if g.SameRack {
		if plan := placeInOneRack(g, workers); plan != nil {
			return plan
		}
	}
	return placeTasks(g, workers)
}

// placeByFree places the tasks of a group for which workers differ only in their
// free capacity and their zone. Within a zone it chooses the same workers as
// placeTasks.
func (p *pool) placeByFree(g *Group) []Placement {
	if p.byFree == nil {
		p.byFree = sortByFree(p.workers)
	}
	home := p.homeZone(g)
	plan := make([]Placement, 0, len(g.Indexes))
	for _, index := range g.Indexes {
		at := p.bestFit(g, home)
		if at < 0 && home != "" {
			home = ""
			at = p.bestFit(g, home)
		}
		if at < 0 {
			break
		}
		w := p.byFree[at]
		w.start(g)
		p.moveDown(at)
		plan = append(plan, Placement{Group: g, Index: index, Worker: w.ID})
	}
	return plan
}

// freeCPU is the free CPU capacity of the worker at a position of a list by id.
type freeCPU struct {
	milliCPU int64
	position int
}

// sortByFree returns the workers by free CPU and id. The strings of most ids need not
// be compared if the workers are already in the order of their ids.
func sortByFree(workers []*Worker) []*Worker {
	byID := func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(workers, byID) {
		workers = slices.SortedFunc(slices.Values(workers), byID)
	}
	keys := make([]freeCPU, len(workers))
	for i, w := range workers {
		keys[i] = freeCPU{w.Free.MilliCPU, i}
	}
	slices.SortFunc(keys, func(a, b freeCPU) int {
		if a.milliCPU != b.milliCPU {
			return cmp.Compare(a.milliCPU, b.milliCPU)
		}
		return a.position - b.position
	})
	sorted := make([]*Worker, len(workers))
	for i, key := range keys {
		sorted[i] = workers[key.position]
	}
	return sorted
}

func compareFree(a, b *Worker) int {
	if a.Free.MilliCPU != b.Free.MilliCPU {
		return cmp.Compare(a.Free.MilliCPU, b.Free.MilliCPU)
	}
	return cmp.Compare(a.ID, b.ID)
}

// bestFit returns the position of the first worker of a zone, or of any if the zone
// is "", with enough free capacity for a task that may start there, or -1.
func (p *pool) bestFit(g *Group, zone string) int {
	for i := p.firstWithCPU(g.Charge.MilliCPU); i < len(p.byFree); i++ {
		if w := p.byFree[i]; w.Free.Fits(g.Charge) && w.mayStart(g) && (zone == "" || w.Zone == zone) {
			return i
		}
	}
	return -1
}

// firstWithCPU returns the position of the first worker with enough free CPU
// capacity.
func (p *pool) firstWithCPU(milliCPU int64) int {
	return sort.Search(len(p.byFree), func(i int) bool { return p.byFree[i].Free.MilliCPU >= milliCPU })
}

// moveDown restores the order after the free capacity of the worker at a
// position has shrunk.
func (p *pool) moveDown(at int) {
	w := p.byFree[at]
	to := sort.Search(at, func(i int) bool { return compareFree(p.byFree[i], w) > 0 })
	copy(p.byFree[to+1:at+1], p.byFree[to:at])
	p.byFree[to] = w
}
