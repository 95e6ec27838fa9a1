package scheduler

import (
	"slices"
	"strings"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// rackLabelPrefix is the prefix of the label that names a worker's rack.
const rackLabelPrefix = "r"

// placeTasks returns starts that place waiting tasks on workers with free
// capacity.
func (l *loop) placeTasks(v *workstate.View, u *usage, groups []*placement.Group, now time.Time) []workstate.Start {
	if len(groups) == 0 || l.unconfirmed {
		return nil
	}
	if u.suspectStarting || hasSuspects(groups) {
		l.countStarting(v, u)
	}
	accounts := l.accounts(v, u, groups, now)
	placed := placement.PlanStarts(groups, l.schedulableWorkers(u, now), accounts, l.roundStarts())
	l.logSuspects(v, placed)
	l.accountLog.Report(l.Log, accounts, now)
	starts := make([]workstate.Start, 0, len(placed))
	for _, p := range placed {
		starts = append(starts, l.newStart(v, p))
	}
	return starts
}

func (l *loop) newStart(v *workstate.View, p placement.Placement) workstate.Start {
	id := workload.TaskID{Job: p.Group.Job, Occurrence: p.Group.Occurrence, Step: p.Group.Step, Index: p.Index}
	job := v.Job(p.Group.Job)
	number := 1
	if p.Group.Gang {
		number = nextGangRun(job, id)
	} else if task := job.Task(id); task != nil {
		number = task.Run + 1
	}
	return workstate.Start{Task: id, Run: number, Worker: p.Worker, Incarnation: l.workers[p.Worker].reg.Incarnation, Term: l.term}
}

// nextGangRun returns the next run number of a gang, which its tasks share. It
// is higher than the run number of every task of the step.
func nextGangRun(job *workstate.Job, id workload.TaskID) int {
	highest := 0
	if id.Occurrence < len(job.Occurrences) {
		for _, task := range job.Occurrences[id.Occurrence].Steps[id.Step].Tasks {
			highest = max(highest, task.Run)
		}
	}
	return highest + 1
}

// schedulableWorkers returns the workers that accept new tasks, with their free
// capacity. They are valid until the next call.
func (l *loop) schedulableWorkers(u *usage, now time.Time) []*placement.Worker {
	all := slices.Grow(l.schedulable[:0], len(l.workerList))
	for _, w := range l.workerList {
		starts := w.startsLeft()
		if starts <= 0 || !w.schedulable(now) || !l.capacityKnown(w, now) || l.isLeaving(w.reg.VM) {
			continue
		}
		all = append(all, placement.Worker{
			ID: w.reg.ID, Service: w.reg.Service, Zone: w.reg.Zone, Rack: w.rack, Labels: w.reg.Labels,
			Free: w.reg.Capacity.Sub(u.usedOn(w)), MaxStarts: starts, DrainPending: l.maintenance.due[w.reg.VM],
		})
		if u.starting != nil {
			l.describeForSuspects(&all[len(all)-1], u, w, now)
		}
	}
	l.schedulable = all
	workers := make([]*placement.Worker, len(all))
	for i := range all {
		workers[i] = &all[i]
	}
	return workers
}

// zoneOf returns the availability zone of a worker, or "" if it is unknown.
func (l *loop) zoneOf(id string) string {
	if w := l.workers[id]; w != nil {
		return w.reg.Zone
	}
	return ""
}

// hasOpenOrder reports whether an order for a VM is open.
func (l *loop) hasOpenOrder(vm string) bool {
	e := l.fleet.entries[vm]
	return e != nil && e.order != nil
}

// isLeaving reports whether a VM is about to be maintained or moved, so that its worker gets
// no new tasks.
func (l *loop) isLeaving(vm string) bool {
	return l.maintenance.isCordoned(vm) || l.hasOpenOrder(vm) || l.draining[vm]
}

// rackOf returns the label that names the rack. If several labels have the
// prefix, it is by convention the last one.
func rackOf(labels []string) string {
	for i := len(labels) - 1; i >= 0; i-- {
		if strings.HasPrefix(labels[i], rackLabelPrefix) && len(labels[i]) > 1 {
			return labels[i]
		}
	}
	return ""
}

// waitingGroups returns the waiting tasks of all open jobs, grouped by step.
func (l *loop) waitingGroups(v *workstate.View, now time.Time) []*placement.Group {
	at := planTime{now: now, wallMS: l.Now().UnixMilli()}
	var groups []*placement.Group
	for _, job := range v.Active() {
		if job.Outcome != workstate.Open {
			continue
		}
		for k := range job.Spec.Occurrences() {
			if job.Spec.DueMS(k) > at.wallMS {
				break
			}
			groups = l.appendWaiting(groups, v, job, k, at)
		}
	}
	return groups
}

// appendWaiting appends the waiting tasks of the steps of one occurrence that
// may start.
func (l *loop) appendWaiting(groups []*placement.Group, v *workstate.View, job *workstate.Job, k int, at planTime) []*placement.Group {
	var progress *workstate.Occurrence
	if k < len(job.Occurrences) {
		progress = &job.Occurrences[k]
		if progress.StepsDone == len(progress.Steps) {
			return groups
		}
	}
	first := len(groups)
	for s := range job.Spec.Steps {
		step := &job.Spec.Steps[s]
		if progress == nil && len(step.DependsOn) > 0 {
			continue
		}
		if progress != nil && !progress.Ready(step) {
			continue
		}
		if g := l.waitingGroup(v, job, progress, k, s); g != nil {
			groups = appendGroup(groups, g, progress)
		}
	}
	l.rankGroups(v, job, progress, k, groups[first:], at)
	return groups
}

// rankGroups sets the tier and the rank of the groups of one occurrence.
func (l *loop) rankGroups(v *workstate.View, job *workstate.Job, progress *workstate.Occurrence, k int, groups []*placement.Group, at planTime) {
	if len(groups) == 0 {
		return
	}
	objective := l.objective(v, job, progress, k, at)
	overRate := job.OverRate && len(v.Catalog().Accounts) > 0
	tier, rank := objective.TierAt(at.now, overRate), objective.Rank(at.now)
	for _, g := range groups {
		g.Tier, g.Rank = tier, rank
		if g.LongRunning {
			g.Tier, g.Rank = longRunningTier(overRate), longRunningRank
		}
	}
}

// longRunningRank places long-running tasks first, because they serve users and
// are missed for as long as they wait.
const longRunningRank = -1e6

// longRunningTier returns the tier of long-running tasks, which have no objective.
func longRunningTier(overRate bool) placement.Tier {
	if overRate {
		return placement.OverRate
	}
	return placement.InTime
}

// objective returns the figures that determine the order of one occurrence of a job.
func (l *loop) objective(v *workstate.View, job *workstate.Job, progress *workstate.Occurrence, k int, at planTime) (objective placement.Objective) {
	queue := v.Queue(job.Queue)
	if queue == nil {
		return placement.Objective{Accepted: at.now}
	}
	objective = placement.Objective{Accepted: at.arrivalTime(job, k), Stretch: queue.Stretch, TargetLatency: queue.TargetLatency, MeanWork: l.demand.meanWork[job.Queue]}
	count := len(job.Spec.Steps)
	times := make([]time.Duration, 2*count)
	durations, remaining := times[:count], times[count:]
	dependsOn := make([][]int, count)
	for s := range job.Spec.Steps {
		step := &job.Spec.Steps[s]
		open := step.Count
		if progress != nil {
			open -= progress.Steps[s].Done
		}
		durations[s], dependsOn[s] = l.predict(job.Queue, step), step.DependsOn
		if open > 0 {
			remaining[s] = durations[s] + l.demand.overheads[job.Queue]
		}
		objective.Work += stepWork(step, open, durations[s])
	}
	objective.Chain = placement.LongestChain(durations, dependsOn)
	objective.Remaining = placement.LongestChain(remaining, dependsOn)
	return objective
}

// planTime is the time of a plan on the local clock and on the wall clock, which the
// times of the state are on.
type planTime struct {
	now    time.Time
	wallMS int64
}

// arrivalTime returns when an occurrence was accepted or due, on the local
// clock.
func (t planTime) arrivalTime(job *workstate.Job, k int) time.Time {
	return t.now.Add(-time.Duration(t.wallMS-job.ArrivedMS(k)) * time.Millisecond)
}

// waitingGroup returns the waiting tasks of a step, or nil if there are none.
func (l *loop) waitingGroup(v *workstate.View, job *workstate.Job, progress *workstate.Occurrence, k, s int) *placement.Group {
	step := &job.Spec.Steps[s]
	waiting := step.Count
	if progress != nil {
		waiting = progress.Steps[s].Waiting()
	}
	if waiting == 0 {
		return nil
	}
	g := &placement.Group{
		Job: job.ID, Account: job.Account, Occurrence: k, Step: s, Total: step.Count, Service: v.ServiceOf(job), Charge: step.Charge(),
		Label: step.RequiredLabel, DataRack: step.DataRack, MaxPerWorker: step.MaxPerWorker, Gang: step.Gang, SameRack: step.SameRack, LongRunning: step.LongRunning,
	}
	g.UnchargedMilliCPU = step.Need.MilliCPU - g.Charge.MilliCPU
	if queue := v.Queue(job.Queue); queue != nil {
		g.Priority = queue.Priority
	}
	g.Indexes = make([]int, 0, waiting)
	if progress == nil {
		for i := range step.Count {
			g.Indexes = append(g.Indexes, i)
		}
		return g
	}
	if step.MaxPerWorker > 0 {
		g.OnWorker = map[string]int{}
	}
	for i := range progress.Steps[s].Tasks {
		switch task := &progress.Steps[s].Tasks[i]; task.Phase {
		case workstate.Waiting:
			g.Indexes = append(g.Indexes, i)
		case workstate.Running:
			g.Zone = l.zoneOf(task.Worker)
			if g.OnWorker != nil {
				g.OnWorker[task.Worker]++
			}
		}
	}
	return g
}
