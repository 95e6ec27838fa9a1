package workstate

import "slices"

// runCount counts the executing runs on one incarnation of a worker.
type runCount struct {
	incarnation int64
	runs        int
}

// executingRuns counts the executing runs on each worker by incarnation. It tells
// without a look at each task whether a worker has runs.
type executingRuns map[string][]runCount

// add counts a run that was recorded.
func (e executingRuns) add(worker string, incarnation int64) {
	counts := e[worker]
	if at := indexOf(counts, incarnation); at >= 0 {
		counts[at].runs++
		return
	}
	e[worker] = append(counts, runCount{incarnation, 1})
}

// remove counts a run that has ended.
func (e executingRuns) remove(worker string, incarnation int64) {
	counts := e[worker]
	at := indexOf(counts, incarnation)
	if at < 0 {
		return
	}
	counts[at].runs--
	if counts[at].runs > 0 {
		return
	}
	if len(counts) == 1 {
		delete(e, worker)
		return
	}
	e[worker] = slices.Delete(counts, at, at+1)
}

// on returns the number of executing runs on a worker.
func (e executingRuns) on(worker string) int {
	runs := 0
	for _, count := range e[worker] {
		runs += count.runs
	}
	return runs
}

// onIncarnation returns the number of executing runs on an incarnation of a worker.
func (e executingRuns) onIncarnation(worker string, incarnation int64) int {
	counts := e[worker]
	if at := indexOf(counts, incarnation); at >= 0 {
		return counts[at].runs
	}
	return 0
}

func indexOf(counts []runCount, incarnation int64) int {
	return slices.IndexFunc(counts, func(c runCount) bool { return c.incarnation == incarnation })
}

// RunsOn returns the number of runs that are recorded on a worker.
func (v *View) RunsOn(worker string) int { return v.m.executing.on(worker) }

// EachBusyWorker calls f for each incarnation of a worker with executing runs until
// it returns false. The worker need not be registered any more.
func (v *View) EachBusyWorker(f func(id string, incarnation int64) bool) {
	for id, counts := range v.m.executing {
		for _, count := range counts {
			if !f(id, count.incarnation) {
				return
			}
		}
	}
}
