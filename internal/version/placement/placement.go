// Package placement decides which waiting tasks of a hosted deployment start on
// which workers. It computes a plan from a snapshot and does no I/O.
package placement

import (
	"cmp"
	"math"
	"slices"

	"arbutusward.example/arbutusward/internal/version/fairshare"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Worker is a worker that accepts new tasks.
type Worker struct {
	ID      string
	Service string
	// Zone is the availability zone.
	Zone   string
	Rack   string
	Labels []string
	// Free is the capacity that executing tasks leave.
	Free workload.Resources
	// MaxStarts limits the tasks that a plan starts on the worker, but for those of gangs; 0
	// means no limit. started counts them.
	MaxStarts, started int
	// Penalty is higher for workers that the caller prefers not to use. The
	// scheduler does not set it.
	Penalty int
	// DrainPending is set if the worker will be drained soon. Long-running
	// tasks are placed on other workers if possible.
	DrainPending bool
	// The following fields are used for suspects only. Capacity is what is free
	// once all but the long-running tasks have ended, Runs the number of executing
	// runs, and Incarnation the start of the worker in milliseconds of Unix time.
	// Flapping is set if it has started or was silent lately.
	Capacity    workload.Resources
	Runs        int
	Incarnation int64
	Flapping    bool
	Starting    Starting
}

// Group holds the waiting tasks of one step.
type Group struct {
	Job string
	// Account is the client account of the job, or "".
	Account    string
	Occurrence int
	Step       int
	// Indexes lists the waiting tasks. Total is the number of all tasks of the
	// step.
	Indexes []int
	Total   int
	Service string
	// Charge is the part of a worker's free capacity that one task takes.
	Charge workload.Resources
	// UnchargedMilliCPU is what one task needs beyond Charge, as a best-effort task does.
	// It counts against the quota of its account.
	UnchargedMilliCPU int64
	// Groups are placed in ascending order of Priority, within a priority of Tier
	// and within a tier of Rank.
	Priority int
	Rank     float64
	// Label, if not empty, must be among the worker's labels.
	Label string
	// DataRack is the rack on which the tasks run at full speed; "" is any.
	DataRack string
	// Zone is the availability zone of one of the step's executing tasks, or "".
	Zone string
	// MaxPerWorker limits the step's tasks on a worker; 0 means no limit.
	MaxPerWorker int
	// Allowed lists the workers of a restricted group.
	Allowed map[string]bool
	// OnWorker counts the step's executing tasks by worker.
	OnWorker map[string]int
	Tier     Tier
	// Restricted is set if the tasks may run only on the workers in Allowed.
	Restricted bool
	// Gang is set if the tasks of the step start all together or not at all.
	// They do not start while a task of the step is executing or done.
	Gang bool
	// SameRack is set if the tasks should be placed on one rack. They are
	// spread over racks if no rack has the capacity for all of them.
	SameRack bool
	// LongRunning is set if the tasks run until they are stopped.
	LongRunning bool
	// Suspect is set if the tasks may crash their workers, so that they start
	// apart from the tasks of other jobs.
	Suspect bool
}

// Placement assigns one task to a worker.
type Placement struct {
	Group  *Group
	Index  int
	Worker string
}

// Plan places as many tasks as fit, suspects first and then in the order of the
// groups' priority, tier and rank. It sorts groups and reduces the workers' free
// capacity.
func Plan(groups []*Group, workers []*Worker) []Placement {
	return PlanForAccounts(groups, workers, nil)
}

// PlanForAccounts is Plan within the quotas of client accounts, and with regard to their
// shares. It counts what it starts. Without accounts there are no quotas.
func PlanForAccounts(groups []*Group, workers []*Worker, accounts *fairshare.Accounts) []Placement {
	return PlanStarts(groups, workers, accounts, math.MaxInt)
}

// PlanStarts is PlanForAccounts with a limit of the starts. Gangs, which start as a whole or not
// at all, may exceed it.
func PlanStarts(groups []*Group, workers []*Worker, accounts *fairshare.Accounts, maxStarts int) []Placement {
	slices.SortFunc(groups, compareGroups)
	p := &planner{pools: map[string]*pool{}, accounts: accounts, maxStarts: maxStarts}
	for _, w := range workers {
		p.poolOf(w.Service).add(w)
	}
	p.reserve(groups)
	if accounts == nil || !accounts.ByShare {
		p.placeAll(groups)
		return p.plan
	}
	for len(groups) > 0 {
		size := tierSize(groups)
		p.placeTier(groups[:size])
		groups = groups[size:]
	}
	return p.plan
}

// compareGroups orders groups: suspects first, then by priority, tier and rank.
// Groups that are equal in all of them have a fixed order too.
func compareGroups(a, b *Group) int {
	if a.Suspect != b.Suspect {
		return compareTrueFirst(a.Suspect, b.Suspect)
	}
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if a.Tier != b.Tier {
		return cmp.Compare(a.Tier, b.Tier)
	}
	if a.Rank != b.Rank {
		return cmp.Compare(a.Rank, b.Rank)
	}
	if a.Job != b.Job {
		return cmp.Compare(a.Job, b.Job)
	}
	return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}

// Need returns what one task counts against the quota of its account.
func (g *Group) Need() workload.Resources {
	need := g.Charge
	need.MilliCPU += g.UnchargedMilliCPU
	return need
}

// unconstrained reports whether any worker with enough free capacity may take
// the group's tasks.
func (g *Group) unconstrained() bool {
	return g.Label == "" && !g.Restricted && g.MaxPerWorker == 0 && !g.Gang && !g.SameRack
}

// placeInOneRack places a whole group on the first rack with enough capacity.
// It returns nil if there is none.
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
		plan := placeTasks(g, racks[name])
		if len(plan) == len(g.Indexes) {
			return plan
		}
		undo(plan, racks[name])
	}
	return nil
}

// placeTasks places as many tasks of the group as fit, or all or none of a
// gang.
func placeTasks(g *Group, pool []*Worker) []Placement {
	var plan []Placement
	placed := map[string]int{}
	for _, index := range g.Indexes {
		w := bestWorker(g, pool, placed)
		if w == nil {
			break
		}
		w.start(g)
		placed[w.ID]++
		plan = append(plan, Placement{Group: g, Index: index, Worker: w.ID})
	}
	if g.Gang && len(plan) < len(g.Indexes) {
		undo(plan, pool)
		return nil
	}
	return plan
}

// undo returns the capacity of placements to the workers.
func undo(plan []Placement, pool []*Worker) {
	for _, p := range plan {
		for _, w := range pool {
			if w.ID == p.Worker {
				w.undoStart(p.Group)
			}
		}
	}
}

// bestWorker returns the preferred eligible worker, or nil if there is none.
// Among workers that are equal otherwise, it is the one with the least free CPU
// capacity (best fit), which leaves large blocks of capacity for large tasks.
func bestWorker(g *Group, pool []*Worker, placed map[string]int) *Worker {
	var found *Worker
	for _, w := range pool {
		if !eligible(g, w, placed) {
			continue
		}
		if found == nil || preferred(g, w, found) {
			found = w
		}
	}
	return found
}

// eligible reports whether the worker may take one more task of the group,
// given the tasks of the group that this plan has placed by worker.
func eligible(g *Group, w *Worker, placed map[string]int) bool {
	return w.Free.Fits(g.Charge) && w.mayStart(g) && suitable(g, w, placed)
}

// mayStart reports whether the plan may start one more task of the group on the worker.
func (w *Worker) mayStart(g *Group) bool {
	return g.Gang || w.MaxStarts == 0 || w.started < w.MaxStarts
}

// start places one task of the group on the worker.
func (w *Worker) start(g *Group) {
	w.Free = w.Free.Sub(g.Charge)
	w.started++
}

// undoStart takes one task of the group back.
func (w *Worker) undoStart(g *Group) {
	w.Free = w.Free.Add(g.Charge)
	w.started--
}

// suitable is eligible without regard to the worker's capacity.
func suitable(g *Group, w *Worker, placed map[string]int) bool {
	if g.Restricted && !g.Allowed[w.ID] {
		return false
	}
	if g.Label != "" && !slices.Contains(w.Labels, g.Label) {
		return false
	}
	return g.MaxPerWorker == 0 || g.OnWorker[w.ID]+placed[w.ID] < g.MaxPerWorker
}

// preferred reports whether the group's tasks should be placed on a rather than
// on b. Suspects have an order of their own. Otherwise it is: no pending drain (for
// long-running tasks), lower penalty, the group's data rack, less free CPU, lower id.
func preferred(g *Group, a, b *Worker) bool {
	if g.Suspect {
		return compareForSuspects(a, b) < 0
	}
	if g.LongRunning && a.DrainPending != b.DrainPending {
		return b.DrainPending
	}
	if a.Penalty != b.Penalty {
		return a.Penalty < b.Penalty
	}
	if onDataRack := a.Rack == g.DataRack; g.DataRack != "" && onDataRack != (b.Rack == g.DataRack) {
		return onDataRack
	}
	if a.Free.MilliCPU != b.Free.MilliCPU {
		return a.Free.MilliCPU < b.Free.MilliCPU
	}
	return a.ID < b.ID
}
