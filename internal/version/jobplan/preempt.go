package jobplan

import (
	"fmt"
	"sort"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// Times of preemption. Their sum stays under the time within which urgent
// work has to start.
const (
	// CheckpointTimeMS is the time a task has to save its work, in ms.
	CheckpointTimeMS = 2500
	// ThrottleTimeMS is the time a throttled task has to yield, in ms.
	ThrottleTimeMS = 1000
)

// overloadShare is the use of a worker's memory above which a task has to go.
const overloadShare = 0.95

// escalateOrders takes each ordered task to its next step: a task that saved
// its work is stopped, one that did not in time is throttled, then stopped.
func (p *planner) escalateOrders() {
	for i := range p.input.Jobs {
		job := &p.input.Jobs[i]
		if job.Phase != Running {
			continue
		}
		age := p.input.NowMS - job.OrderMS
		switch {
		case job.Order == Checkpoint && job.Checkpointed:
			p.order(job, Stop, "its work is saved")
		case job.Order == Checkpoint && age >= CheckpointTimeMS:
			p.order(job, Throttle, "it did not save its work in time")
		case job.Order == Throttle && (job.Checkpointed || age >= ThrottleTimeMS):
			p.order(job, Stop, "it did not yield in time")
		}
	}
}

func (p *planner) order(job *Job, order Order, reason string) {
	p.plan.Preemptions = append(p.plan.Preemptions, Preemption{Job: job.ID, Order: order, Reason: reason})
}

// clearClosedWorkers asks the tasks of draining VMs to save their work.
func (p *planner) clearClosedWorkers() {
	for i := range p.input.Jobs {
		job := &p.input.Jobs[i]
		worker := p.workers.byName[job.Worker]
		if job.Phase != Running || job.Order != NoOrder || worker == nil || worker.Schedulable {
			continue
		}
		p.order(job, Checkpoint, "its VM is to be drained")
	}
}

// relieveOverload asks the task that is furthest above what it is charged
// for to go where the reported use is close to the worker's memory.
func (p *planner) relieveOverload() {
	for _, worker := range p.workers.all {
		if worker.Schedulable {
			p.relieve(worker)
		}
	}
}

func (p *planner) relieve(worker *workerState) {
	used := 0.0
	var worst *Job
	for _, job := range worker.running {
		if job.Order != NoOrder {
			return
		}
		used += job.Used.MemoryGiB
		if worst == nil || excess(job) > excess(worst) {
			worst = job
		}
	}
	if used > overloadShare*worker.Capacity.MemoryGiB && worst != nil && excess(worst) > 0 {
		p.order(worst, Checkpoint, fmt.Sprintf("its worker uses %.3g of %.3g GiB", used, worker.Capacity.MemoryGiB))
	}
}

// excess is how far a task's memory is above what it is charged for, in GiB.
func excess(job *Job) float64 { return job.Used.MemoryGiB - job.Reserved.MemoryGiB }

// makeRoom asks the fewest tasks to yield so that the urgent job fits on
// one worker. Tasks asked before count as room to come.
func (p *planner) makeRoom(job *Job, demand fleet.Resources) {
	var victims []*Job
	var chosen *workerState
	for _, worker := range p.workers.candidates(job) {
		if !worker.mayTake(job) {
			continue
		}
		coming := Add(worker.room, worker.freeing)
		if Fits(demand, coming) {
			worker.freeing = Sub(worker.freeing, demand)
			return
		}
		found := worker.victims(demand, coming)
		if found != nil && (victims == nil || len(found) < len(victims)) {
			victims, chosen = found, worker
		}
	}
	if chosen == nil {
		return
	}
	for _, victim := range victims {
		p.order(victim, Checkpoint, "urgent job "+job.ID+" needs the room")
		victim.Order = Checkpoint
		chosen.freeing = Add(chosen.freeing, victim.Reserved)
	}
	chosen.freeing = Sub(chosen.freeing, demand)
}

// victims returns tasks of the worker that together make room, youngest
// first since they lose the least work, or nil if there are not enough.
func (w *workerState) victims(demand, room fleet.Resources) []*Job {
	var yielding []*Job
	for _, job := range w.running {
		if !job.Urgent && job.Order == NoOrder {
			yielding = append(yielding, job)
		}
	}
	sort.SliceStable(yielding, func(i, j int) bool { return yielding[i].StartedMS > yielding[j].StartedMS })
	for i, job := range yielding {
		room = Add(room, job.Reserved)
		if Fits(demand, room) {
			return yielding[:i+1]
		}
	}
	return nil
}
