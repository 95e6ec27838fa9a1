package scheduler

import (
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Time limits that the platform sets and the ledger checks.
const (
	cancelBound = 3 * time.Second
	drainBound  = 2 * time.Second
	// testAttempts is how often a task of testCatalog's queue may fail.
	testAttempts = 2
	// testCrashes is how many workers must have crashed under a task before its
	// job may be given up.
	testCrashes = 2
)

// runEnd is the end of a run as its worker reports it.
type runEnd struct {
	// order is the position among the starts and ends of all workers.
	order  int
	reason execution.EndReason
	// acknowledged is set if the scheduler acknowledged the end while the
	// worker's lease lasted.
	acknowledged bool
}

// taskHistory is the history of one task on all workers.
type taskHistory struct {
	// starts holds the order of each start.
	starts []int
	ends   []*runEnd
	// crashes counts the workers that crashed under the task.
	crashes int
}

// ledger records the starts and ends of runs on all workers and reports
// violations of the scheduling rules.
type ledger struct {
	t *testing.T
	// order counts the starts and ends of all workers.
	order int
	tasks map[workload.TaskID]*taskHistory
	// specs holds the jobs whose dependencies are checked. cancelled and
	// draining hold the times at which cancels and drains were acknowledged.
	specs     map[string]workload.Spec
	cancelled map[string]time.Time
	draining  map[string]time.Time
}

func newLedger(t *testing.T) *ledger {
	return &ledger{t: t, tasks: map[workload.TaskID]*taskHistory{}, specs: map[string]workload.Spec{}, cancelled: map[string]time.Time{}, draining: map[string]time.Time{}}
}

func (g *ledger) history(task workload.TaskID) *taskHistory {
	h := g.tasks[task]
	if h == nil {
		h = &taskHistory{}
		g.tasks[task] = h
	}
	return h
}

// started records a start. The time limits are not checked if the order was
// executed after its call had timed out.
func (g *ledger) started(task workload.TaskID, worker string, late bool) {
	g.order++
	h := g.history(task)
	h.starts = append(h.starts, g.order)
	g.check(task)
	g.checkDependencies(task)
	if at, known := g.cancelled[task.Job]; known && !late && time.Since(at) > cancelBound {
		g.t.Errorf("%s starts %s after the cancel", task, time.Since(at))
	}
	if at, known := g.draining[worker]; known && !late && time.Since(at) > drainBound {
		g.t.Errorf("%s starts on %s, %s after its drain", task, worker, time.Since(at))
	}
}

func (g *ledger) ended(task workload.TaskID, reason execution.EndReason) *runEnd {
	g.order++
	e := &runEnd{order: g.order, reason: reason}
	h := g.history(task)
	h.ends = append(h.ends, e)
	return e
}

// acknowledge records that the scheduler has acknowledged an end.
func (g *ledger) acknowledge(task workload.TaskID, e *runEnd) {
	e.acknowledged = true
	g.check(task)
}

// check reports a start after an acknowledged success, or after the last
// attempt.
func (g *ledger) check(task workload.TaskID) {
	h := g.history(task)
	failed := 0
	for _, e := range h.ends {
		if !e.acknowledged {
			continue
		}
		if e.reason == execution.ReasonFailed {
			failed++
		}
		last := h.starts[len(h.starts)-1]
		if e.reason == execution.ReasonDone && last > e.order {
			g.t.Errorf("%s starts though it is done", task)
		}
		if failed == testAttempts && e.reason == execution.ReasonFailed && last > e.order {
			g.t.Errorf("%s starts after %d failures", task, failed)
		}
	}
}

// checkDependencies reports a start before the steps that it depends on are
// done.
func (g *ledger) checkDependencies(task workload.TaskID) {
	spec, known := g.specs[task.Job]
	if !known {
		return
	}
	for _, dependency := range spec.Steps[task.Step].DependsOn {
		for i := range spec.Steps[dependency].Count {
			id := workload.TaskID{Job: task.Job, Occurrence: task.Occurrence, Step: dependency, Index: i}
			if g.count(id, execution.ReasonDone) == 0 {
				g.t.Errorf("%s starts before %s is done", task, id)
			}
		}
	}
}

func (g *ledger) count(task workload.TaskID, reason execution.EndReason) int {
	count := 0
	for _, e := range g.history(task).ends {
		if e.reason == reason {
			count++
		}
	}
	return count
}

// crashed records that a worker crashed under a task.
func (g *ledger) crashed(task workload.TaskID) { g.history(task).crashes++ }

// mayBeGivenUp reports whether enough workers have crashed under a task of a job.
func (g *ledger) mayBeGivenUp(job string) bool {
	for task, h := range g.tasks {
		if task.Job == job && h.crashes >= testCrashes {
			return true
		}
	}
	return false
}
