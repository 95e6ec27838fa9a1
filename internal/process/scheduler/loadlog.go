package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/scheduler/loadlog"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// logLoad logs the load of the leader if the interval has passed.
func (l *loop) logLoad(now time.Time) {
	if !l.loadLog.Due(now) {
		return
	}
	l.loadLog.Write(now, l.Log, &loadlog.State{
		Counters:     loadlog.Counters{Starts: startedRuns.Get(), Ends: endedRuns.Get(), Watches: watchCalls.Get()},
		StepsWaiting: l.waitingSteps, TasksWaiting: l.waitingTasks, TasksExecuting: l.runs.Len(), JobBytes: l.jobMemory(),
		EventsQueued: len(l.events), OldestReport: l.oldestReport(now), Delays: l.Replica.TakeDelays(),
	})
}

// jobMemory returns the memory that the jobs of the state are counted for, in bytes.
func (l *loop) jobMemory() (bytes int64) {
	l.Machine.Read(func(v *workstate.View) { bytes = v.JobMemory() })
	return bytes
}

// oldestReport returns the age of the oldest report among the workers that get
// new tasks, which bounds the age of the state that a plan is made from.
func (l *loop) oldestReport(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, w := range l.workerList {
		if w.report != nil && w.schedulable(now) {
			oldest = max(oldest, now.Sub(w.answeredAt))
		}
	}
	return oldest
}
