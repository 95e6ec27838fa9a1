package workstate

import "arbutusward.example/arbutusward/internal/version/workload"

// Crashes in a row, without a run that survived its start, after which a task is
// given up. Workers crash without any task's guilt too, but hardly as often just
// when the same task starts on them apart from the tasks of other jobs.
const (
	// maxCrashes bounds all crashes that the task may have caused. It is the only
	// bound for a long-running task, whose job is missed by its users for the rest
	// of the day.
	maxCrashes = 5
	// maxProbableCrashes bounds them if one of them was under a run that was
	// certainly starting.
	maxProbableCrashes = 4
	// maxLikelyCrashes bounds the crashes under runs that were certainly starting if
	// minCrashesAlone of them, the last one included, are such that no other job's
	// task can have caused them.
	maxLikelyCrashes = 3
	minCrashesAlone  = 2
)

// GivenUp reports whether the job of a task of a step fails because of the
// crashes under the task, of which alone describes the last one.
func (t *Task) GivenUp(step *workload.Step, alone bool) bool {
	if step.LongRunning || t.Crashes >= maxCrashes {
		return t.Crashes >= maxCrashes
	}
	certain := t.Crashes - t.CrashesUncertain
	if t.Crashes >= maxProbableCrashes && certain > 0 {
		return true
	}
	return certain >= maxLikelyCrashes && alone && t.CrashesAlone >= minCrashesAlone
}

// countCrash counts a crash that the task may have caused, from the end of its run.
func (t *Task) countCrash(e *End) {
	t.Crashes++
	if e.Alone {
		t.CrashesAlone++
	}
	if e.Uncertain {
		t.CrashesUncertain++
	}
}

// forgetCrashes records that a run has survived its start.
func (t *Task) forgetCrashes() {
	t.Crashes, t.CrashesAlone, t.CrashesUncertain = 0, 0, 0
}

// crashed reports whether a worker that a later one replaces has crashed. It has
// not if its end was expected, or if the later one is on another VM or in another
// service.
func crashed(former, next *Worker) bool {
	if former.EndsByOrder == former.Incarnation || former.Service != next.Service || former.VM != next.VM {
		return false
	}
	return former.VM != "" || former.Address == next.Address
}

// newestOrderedEnd returns the EndsByOrder of a worker that registers, given its
// former registration, which may be nil.
func newestOrderedEnd(known, next *Worker) int64 {
	switch {
	case next.Draining:
		return next.Incarnation
	case known == nil:
		return 0
	case known.Incarnation < next.Incarnation && !crashed(known, next):
		return known.Incarnation
	}
	return known.EndsByOrder
}

// forgetExpectedEnd records that a worker gets tasks, so that the order that was
// about to end it was refused or never arrived.
func (w *Worker) forgetExpectedEnd() {
	if w.EndsByOrder == w.Incarnation {
		w.EndsByOrder = 0
	}
}

// expectMaintenance records that the worker on a VM is about to end by order.
func (m *Machine) expectMaintenance(vm string) {
	for _, worker := range m.data.Workers {
		if worker.VM == vm && vm != "" {
			worker.EndsByOrder = worker.Incarnation
		}
	}
}
