package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/scheduler/admit"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/rebalance"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// admissionState is what the loop collects for the admission of jobs.
type admissionState struct {
	// board is where the load is published; nil if nobody reads it.
	board *admit.Board
	// memory limits the memory of jobs; nil if nobody is refused.
	memory *admit.Memory
	// pools are those of the newest plan of the fleet.
	pools []rebalance.Pool
	// publishedAt is when the load was last published.
	publishedAt time.Time
}

// publishLoad publishes the load of all pools after a round, for the admission of jobs.
func (l *loop) publishLoad(v *workstate.View, u *usage, groups []*placement.Group, starts []workstate.Start, now time.Time) {
	if l.admission.board == nil || now.Sub(l.admission.publishedAt) < fleetInterval {
		return
	}
	l.admission.publishedAt = now
	if !admit.RefusesForBacklog(v.Catalog()) {
		l.admission.board.Drop()
		return
	}
	survey := admit.NewSurvey(v, l.demand.durations.Copy(), now, l.Now().UnixMilli())
	for _, w := range l.workerList {
		// A worker that a new leader has not reached yet is most likely at work.
		if !w.unresponsive && w.mayGetStarts(&w.reg) && !l.isLeaving(w.reg.VM) {
			survey.AddWorker(w.reg.Service, w.reg.Capacity)
		}
	}
	survey.AddPlan(l.admission.pools, l.rebalanceVMs(u, now), l.vmCapacity)
	survey.AddLimits()
	survey.CountWaiting(groups, starts)
	for _, job := range v.Active() {
		survey.AddJob(job, func(id workload.TaskID) time.Duration { return l.executed(id, now) })
	}
	l.admission.board.Publish(survey.Snapshot())
}

// executed returns how long the run of a task has executed as far as this leader knows.
func (l *loop) executed(id workload.TaskID, now time.Time) time.Duration {
	if r := l.runs.Get(id); r != nil && !r.orderedAt.IsZero() {
		return now.Sub(r.orderedAt)
	}
	return 0
}
