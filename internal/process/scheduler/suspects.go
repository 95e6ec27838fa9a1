package scheduler

import (
	"fmt"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/process/scheduler/progresslog"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// flappingTime is the time after its start, or after it was found silent, for which a
// worker may be one that crashes or falls silent again and again.
const flappingTime = 15 * time.Second

// workerRuns describes the runs of a worker to the placement of suspects.
type workerRuns struct {
	placement.Starting
	runs int
	// longRunning is what the long-running ones take of the capacity.
	longRunning workload.Resources
}

// appendGroup appends the waiting tasks of a step. Suspects form a group of their
// own, but for a gang, which is placed as a whole.
func appendGroup(groups []*placement.Group, g *placement.Group, progress *workstate.Occurrence) []*placement.Group {
	if progress == nil {
		return append(groups, g)
	}
	tasks := progress.Steps[g.Step].Tasks
	isSuspect := func(index int) bool { return tasks[index].Crashes > 0 }
	if !slices.ContainsFunc(g.Indexes, isSuspect) {
		return append(groups, g)
	}
	var suspects, others []int
	for _, index := range g.Indexes {
		if isSuspect(index) {
			suspects = append(suspects, index)
		} else {
			others = append(others, index)
		}
	}
	if g.Gang || len(others) == 0 {
		g.Suspect = true
		return append(groups, g)
	}
	apart := *g
	apart.Suspect, apart.Indexes = true, suspects
	g.Indexes = others
	return append(groups, g, &apart)
}

func hasSuspects(groups []*placement.Group) bool {
	for _, g := range groups {
		if g.Suspect {
			return true
		}
	}
	return false
}

// countStarting collects the starting runs of each worker.
func (l *loop) countStarting(v *workstate.View, u *usage) {
	u.starting = make(map[string]*workerRuns, len(l.workers))
	for _, job := range v.Active() {
		job.EachExecuting(func(id workload.TaskID, task *workstate.Task) {
			if l.endQueued(runKey{id, task.Run}) {
				return
			}
			runs := u.starting[task.Worker]
			if runs == nil {
				runs = &workerRuns{}
				u.starting[task.Worker] = runs
			}
			runs.runs++
			if step := &job.Spec.Steps[id.Step]; step.LongRunning {
				runs.longRunning = runs.longRunning.Add(step.Charge())
			}
			if r := l.runs.Get(id); r == nil || !r.settled {
				runs.Add(id.Job, isSuspect(job, id, task))
			}
		})
	}
}

// describeForSuspects sets what only the placement of suspects needs.
func (l *loop) describeForSuspects(p *placement.Worker, u *usage, w *worker, now time.Time) {
	p.Capacity, p.Incarnation = w.reg.Capacity, w.reg.Incarnation
	p.Flapping = w.reg.Incarnation > l.Now().Add(-flappingTime).UnixMilli() || now.Sub(w.failedAt) < flappingTime
	if s := u.starting[w.reg.ID]; s != nil {
		p.Runs, p.Starting = s.runs, s.Starting
		p.Capacity = p.Capacity.Sub(s.longRunning)
	}
}

// isSuspect reports whether a task, or one of its gang, may crash its worker.
func isSuspect(job *workstate.Job, id workload.TaskID, task *workstate.Task) bool {
	if task.Crashes > 0 || !job.Spec.Steps[id.Step].Gang {
		return task.Crashes > 0
	}
	return slices.ContainsFunc(job.Occurrences[id.Occurrence].Steps[id.Step].Tasks, func(member workstate.Task) bool { return member.Crashes > 0 })
}

// logSuspects logs the suspects of a plan, one line for each group and worker.
func (l *loop) logSuspects(v *workstate.View, plan []placement.Placement) {
	type key struct {
		group  *placement.Group
		worker string
	}
	tasks := map[key][]string{}
	for _, p := range plan {
		if !p.Group.Suspect {
			continue
		}
		crashes := v.Job(p.Group.Job).Task(workload.TaskID{Job: p.Group.Job, Occurrence: p.Group.Occurrence, Step: p.Group.Step, Index: p.Index}).Crashes
		k := key{p.Group, p.Worker}
		if len(tasks[k]) < progresslog.MaxRunsPerLine {
			tasks[k] = append(tasks[k], fmt.Sprintf("%d(%d)", p.Index, crashes))
		}
	}
	for k, list := range tasks {
		l.Log.Info("starting suspects on an isolated worker", "job", k.group.Job, "occurrence", k.group.Occurrence, "step", k.group.Step,
			"tasks", list, "worker", k.worker)
	}
}

// markSuspect records that a run is one of a suspect that may still be starting.
func (l *loop) markSuspect(u *usage, task *workstate.Task, r *run, w *worker) {
	if task.Crashes == 0 || r.settled {
		return
	}
	u.suspectStarting = true
	w.settlingRound = l.roundNumber
}
