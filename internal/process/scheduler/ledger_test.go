package scheduler

import (
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Bounds of the platform that the ledger checks.
const (
	cancelBound = 3 * time.Second
	drainBound  = 2 * time.Second
	// testAttempts is how often a task of testCatalog's queue may fail.
	testAttempts = 2
)

// runEnd is the end of a run as its worker lists it.
type runEnd struct {
	// order counts the starts and ends of all workers.
	order int
	how   execution.EndReason
	// noted says that the scheduler let the worker forget the end while its
	// lease lasted.
	noted bool
}

// taskHistory is what workers saw of one task.
type taskHistory struct {
	// starts holds the order of each start.
	starts []int
	ends   []*runEnd
}

// ledger is what all workers together saw, and finds what is forbidden.
type ledger struct {
	t     *testing.T
	order int
	tasks map[workload.TaskID]*taskHistory
	// specs holds the jobs whose steps are checked; cancelled and draining
	// hold since when a cancel or a drain is acknowledged.
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

// started notes a start. Bounds of time hold unless its order was carried
// out late.
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

func (g *ledger) ended(task workload.TaskID, how execution.EndReason) *runEnd {
	g.order++
	e := &runEnd{order: g.order, how: how}
	h := g.history(task)
	h.ends = append(h.ends, e)
	return e
}

// note notes that the scheduler has taken an end.
func (g *ledger) note(task workload.TaskID, e *runEnd) {
	e.noted = true
	g.check(task)
}

// check finds a start after a noted good end, or after the last attempt.
func (g *ledger) check(task workload.TaskID) {
	h := g.history(task)
	failed := 0
	for _, e := range h.ends {
		if !e.noted {
			continue
		}
		if e.how == execution.ReasonFailed {
			failed++
		}
		last := h.starts[len(h.starts)-1]
		if e.how == execution.ReasonDone && last > e.order {
			g.t.Errorf("%s starts though it is done", task)
		}
		if failed == testAttempts && e.how == execution.ReasonFailed && last > e.order {
			g.t.Errorf("%s starts after %d failures", task, failed)
		}
	}
}

// checkDependencies finds a start before the steps that it depends on.
func (g *ledger) checkDependencies(task workload.TaskID) {
	spec, known := g.specs[task.Job]
	if !known {
		return
	}
	for _, before := range spec.Steps[task.Step].DependsOn {
		for i := range spec.Steps[before].Count {
			id := workload.TaskID{Job: task.Job, Occurrence: task.Occurrence, Step: before, Index: i}
			if g.count(id, execution.ReasonDone) == 0 {
				g.t.Errorf("%s starts before %s is done", task, id)
			}
		}
	}
}

func (g *ledger) count(task workload.TaskID, how execution.EndReason) int {
	count := 0
	for _, e := range g.history(task).ends {
		if e.how == how {
			count++
		}
	}
	return count
}
