// Package placement decides which waiting tasks start on which workers. It
// is pure: a snapshot in, a plan out.
package placement

import (
	"cmp"
	"slices"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// Worker is a worker that takes new tasks.
type Worker struct {
	ID      string
	Service string
	Rack    string
	Labels  []string
	// Free is the capacity that nothing executing takes.
	Free workload.Resources
	// Avoid is higher for workers that are best left alone: slow ones, or
	// such whose runs have failed. Lower ones are filled first.
	Avoid int
	// Leaving workers end soon; long-running tasks go elsewhere if they can.
	Leaving bool
}

// Group is the waiting tasks of one step.
type Group struct {
	Job        string
	Occurrence int
	Step       int
	// Indexes are the waiting tasks. Total is the number of tasks of the
	// step.
	Indexes []int
	Total   int
	Service string
	// Charge is what one task takes from a worker's free capacity.
	Charge workload.Resources
	// Priority 0 comes first; within one, the lowest Rank.
	Priority int
	Rank     float64
	// Label must be among the worker's labels, if it is not "".
	Label string
	// DataRack is the rack on which the tasks run at full speed.
	DataRack string
	// MaxPerWorker bounds the step's tasks on a worker; 0 is no bound.
	MaxPerWorker int
	// OnWorker counts the step's tasks that execute now, by worker.
	OnWorker map[string]int
	// Bound groups run only on the workers in Allowed.
	Bound   bool
	Allowed map[string]bool
	// Gang groups start as a whole or not at all, and not while a task of
	// the step is executing or done.
	Gang bool
	// SameRack groups go to one rack if it has room for all of them.
	SameRack bool
	// Lasting tasks run until they are stopped.
	Lasting bool
}

// Placement is one task and its worker.
type Placement struct {
	Group  *Group
	Index  int
	Worker string
}

// Plan places as many tasks as fit, in the order of the groups' priority
// and rank. It changes the workers' free capacity.
func Plan(groups []*Group, workers []*Worker) []Placement {
	slices.SortFunc(groups, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Job, b.Job),
			cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	pools := map[string]*pool{}
	for _, w := range workers {
		p := pools[w.Service]
		if p == nil {
			p = &pool{}
			pools[w.Service] = p
		}
		p.workers = append(p.workers, w)
	}
	var plan []Placement
	for _, g := range groups {
		p := pools[g.Service]
		if p == nil || p.isFullFor(g.Charge) {
			continue
		}
		placed := place(g, p.workers)
		if g.unconstrained() && len(placed) < len(g.Indexes) {
			p.misfits = append(p.misfits, g.Charge)
		}
		plan = append(plan, placed...)
	}
	return plan
}

// pool is the workers of one service while tasks are placed.
type pool struct {
	workers []*Worker
	// misfits are charges for which no worker has room: room only shrinks,
	// so that in a backlog most groups need no look at the workers.
	misfits []workload.Resources
}

// isFullFor says whether a charge, or a smaller one, has found no room.
func (p *pool) isFullFor(charge workload.Resources) bool {
	for _, misfit := range p.misfits {
		if charge.Fits(misfit) {
			return true
		}
	}
	return false
}

// unconstrained says that any worker with room may take the group's tasks.
func (g *Group) unconstrained() bool {
	return g.Label == "" && !g.Bound && g.MaxPerWorker == 0 && !g.Gang && !g.SameRack
}

// place places one group.
func place(g *Group, pool []*Worker) []Placement {
	if g.Gang && len(g.Indexes) < g.Total {
		return nil
	}
	if g.SameRack {
		if plan := placeInOneRack(g, pool); plan != nil {
			return plan
		}
	}
	return placeAmong(g, pool)
}

// placeInOneRack places a whole group in the first rack that has room, or
// returns nil.
func placeInOneRack(g *Group, pool []*Worker) []Placement {
	racks := map[string][]*Worker{}
	var names []string
	for _, w := range pool {
		if racks[w.Rack] == nil {
			names = append(names, w.Rack)
		}
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	slices.Sort(names)
	for _, name := range names {
		plan := placeAmong(g, racks[name])
		if len(plan) == len(g.Indexes) {
			return plan
		}
		undo(plan, racks[name])
	}
	return nil
}

// placeAmong places as many tasks of the group as fit; of a gang all or
// none.
func placeAmong(g *Group, pool []*Worker) []Placement {
	var plan []Placement
	placed := map[string]int{}
	for _, index := range g.Indexes {
		w := best(g, pool, placed)
		if w == nil {
			break
		}
		w.Free = w.Free.Sub(g.Charge)
		placed[w.ID]++
		plan = append(plan, Placement{Group: g, Index: index, Worker: w.ID})
	}
	if g.Gang && len(plan) < len(g.Indexes) {
		undo(plan, pool)
		return nil
	}
	return plan
}

// undo gives the capacity of placements back.
func undo(plan []Placement, pool []*Worker) {
	for _, p := range plan {
		for _, w := range pool {
			if w.ID == p.Worker {
				w.Free = w.Free.Add(p.Group.Charge)
			}
		}
	}
}

// best returns the fitting worker that is avoided least, holds the data,
// and has the least room left: room in one piece stays for wide tasks.
func best(g *Group, pool []*Worker, placed map[string]int) *Worker {
	var found *Worker
	for _, w := range pool {
		if !eligible(g, w, placed) {
			continue
		}
		if found == nil || better(g, w, found) {
			found = w
		}
	}
	return found
}

func eligible(g *Group, w *Worker, placed map[string]int) bool {
	if !w.Free.Fits(g.Charge) || (g.Bound && !g.Allowed[w.ID]) {
		return false
	}
	if g.Label != "" && !slices.Contains(w.Labels, g.Label) {
		return false
	}
	return g.MaxPerWorker == 0 || g.OnWorker[w.ID]+placed[w.ID] < g.MaxPerWorker
}

func better(g *Group, a, b *Worker) bool {
	if g.Lasting && a.Leaving != b.Leaving {
		return b.Leaving
	}
	if a.Avoid != b.Avoid {
		return a.Avoid < b.Avoid
	}
	if near := a.Rack == g.DataRack; g.DataRack != "" && near != (b.Rack == g.DataRack) {
		return near
	}
	if a.Free.MilliCPU != b.Free.MilliCPU {
		return a.Free.MilliCPU < b.Free.MilliCPU
	}
	return a.ID < b.ID
}
