package jobplan

import (
	"fmt"
	"sort"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// Timeouts of preemption. Their sum is less than the time within which urgent
// jobs have to start.
const (
	// CheckpointTimeMS is the time that a task has to save a checkpoint, in
	// ms.
	CheckpointTimeMS = 2500
	// ThrottleTimeMS is the time that a throttled task has to yield, in ms.
	ThrottleTimeMS = 1000
)

// overloadThreshold is the share of a worker's memory above which a task is
// preempted.
const overloadThreshold = 0.95

// escalateOrders advances the preemption of each task that has an order. A
// task that has saved a checkpoint is stopped. A task that has not done so in
// time is throttled, and then stopped.
func (p *planner) escalateOrders() {
	for i := range p.input.Jobs {
		job := &p.input.Jobs[i]
		if job.Phase != Running {
			continue
		}
		age := p.input.NowMS - job.OrderMS
		switch {
		case job.Order == Checkpoint && job.Checkpointed:
			p.addOrder(job, Stop, "its work is saved")
		case job.Order == Checkpoint && age >= CheckpointTimeMS:
			p.addOrder(job, Throttle, "it did not save its work in time")
		case job.Order == Throttle && (job.Checkpointed || age >= ThrottleTimeMS):
			p.addOrder(job, Stop, "it did not yield in time")
		}
	}
}

func (p *planner) addOrder(job *Job, order Order, reason string) {
	p.plan.Preemptions = append(p.plan.Preemptions, Preemption{Job: job.ID, Order: order, Reason: reason})
}

// checkpointDrainingWorkers orders the tasks of draining VMs to save a
// checkpoint.
func (p *planner) checkpointDrainingWorkers() {
	for i := range p.input.Jobs {
		job := &p.input.Jobs[i]
		worker := p.workers.byName[job.Worker]
		if job.Phase != Running || job.Order != NoOrder || worker == nil || worker.Schedulable {
			continue
		}
		p.addOrder(job, Checkpoint, "its VM is to be drained")
	}
}

// relieveOverload preempts tasks on workers whose reported memory use is close
// to their capacity. It chooses the task that exceeds its reservation the
// most.
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
	if used > overloadThreshold*worker.Capacity.MemoryGiB && worst != nil && excess(worst) > 0 {
		p.addOrder(worst, Checkpoint, fmt.Sprintf("its worker uses %.3g of %.3g GiB", used, worker.Capacity.MemoryGiB))
	}
}

// excess returns by how much a task's memory use exceeds its reservation, in
// GiB.
func excess(job *Job) float64 { return job.Used.MemoryGiB - job.Reserved.MemoryGiB }

// preemptFor preempts the fewest tasks that let the urgent job fit on one
// worker. Capacity that preempted tasks are about to release counts as
// available.
func (p *planner) preemptFor(job *Job, demand fleet.Resources) {
	var victims []*Job
	var chosen *workerState
	for _, worker := range p.workers.candidates(job) {
		if !worker.canRun(job) {
			continue
		}
		available := Add(worker.free, worker.freeing)
		if Fits(demand, available) {
			worker.freeing = Sub(worker.freeing, demand)
			return
		}
		candidates := worker.victims(demand, available)
		if candidates != nil && (victims == nil || len(candidates) < len(victims)) {
			victims, chosen = candidates, worker
		}
	}
	if chosen == nil {
		return
	}
	for _, victim := range victims {
		p.addOrder(victim, Checkpoint, "urgent job "+job.ID+" needs the room")
		victim.Order = Checkpoint
		chosen.freeing = Add(chosen.freeing, victim.Reserved)
	}
	chosen.freeing = Sub(chosen.freeing, demand)
}

// victims returns tasks of the worker whose reservations, together with the
// available capacity, satisfy the demand, or nil if there are not enough. The
// youngest tasks come first because they lose the least work.
func (w *workerState) victims(demand, available fleet.Resources) []*Job {
	var preemptible []*Job
	for _, job := range w.running {
		if !job.Urgent && job.Order == NoOrder {
			preemptible = append(preemptible, job)
		}
	}
	sort.SliceStable(preemptible, func(i, j int) bool { return preemptible[i].StartedMS > preemptible[j].StartedMS })
	for i, job := range preemptible {
		available = Add(available, job.Reserved)
		if Fits(demand, available) {
			return preemptible[:i+1]
		}
	}
	return nil
}
