package jobplan

import (
	"fmt"
	"sort"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// MaxSteps is the maximum number of placements in one plan. It keeps a burst
// of submissions from delaying the next plan.
const MaxSteps = 512

// planner holds the state of one plan while it is made.
type planner struct {
	input *Input
	plan  Plan
	// teamReserved is the sum of each team's reservations.
	teamReserved map[string]fleet.Resources
	workers      *workerIndex
}

// NewPlan returns the next steps for the snapshot.
func NewPlan(input *Input) Plan {
	p := newPlanner(input)
	p.escalateOrders()
	p.checkpointDrainingWorkers()
	p.relieveOverload()
	p.placeQueued()
	return p.plan
}

func newPlanner(input *Input) *planner {
	p := &planner{input: input, teamReserved: map[string]fleet.Resources{}, workers: newWorkerIndex(input.Workers)}
	for i := range input.Jobs {
		if job := &input.Jobs[i]; job.Phase == Running {
			p.addRunning(job)
		}
	}
	return p
}

func (p *planner) addRunning(job *Job) {
	p.teamReserved[job.Team] = Add(p.teamReserved[job.Team], job.Reserved)
	worker := p.workers.byName[job.Worker]
	if worker == nil {
		return
	}
	worker.free = Sub(worker.free, job.Reserved)
	worker.running = append(worker.running, job)
	if job.Order != NoOrder {
		worker.freeing = Add(worker.freeing, job.Reserved)
	}
}

// placeQueued places the queued jobs in order. A job that does not fit is
// skipped and does not block the jobs behind it.
func (p *planner) placeQueued() {
	failed := map[demandKey]bool{}
	for _, job := range p.queue() {
		if len(p.plan.Placements) >= MaxSteps {
			return
		}
		demand := Estimate(job, p.input.Observed[KindKey(job.Team, job.Kind)])
		if reason := p.unplaceableReason(job, demand); reason != "" {
			p.plan.Blocked = append(p.plan.Blocked, Blocked{Job: job.ID, Reason: reason})
			continue
		}
		if !Fits(Add(p.teamReserved[job.Team], demand), p.input.Quotas[job.Team]) {
			continue
		}
		key := demandKey{demand: demand, pools: fmt.Sprint(job.Pools), avoid: fmt.Sprint(job.AvoidWorkers)}
		if failed[key] && !job.Urgent {
			continue
		}
		if worker := p.bestFit(job, demand); worker != nil {
			p.addPlacement(job, worker, demand)
			continue
		}
		failed[key] = true
		if job.Urgent {
			p.preemptFor(job, demand)
		}
	}
}

// demandKey identifies jobs with the same demand and the same eligible
// workers. If one of them fits on no worker, neither do the others.
type demandKey struct {
	demand       fleet.Resources
	pools, avoid string
}

// queue returns the queued jobs in the order in which they are placed: urgent
// jobs first, then jobs of the teams that hold the smallest share of their
// quota, then by time of submission.
func (p *planner) queue() []*Job {
	var queued []*Job
	for i := range p.input.Jobs {
		if p.input.Jobs[i].Phase == Queued {
			queued = append(queued, &p.input.Jobs[i])
		}
	}
	share := map[string]float64{}
	for team, quota := range p.input.Quotas {
		share[team] = dominantShare(p.teamReserved[team], quota)
	}
	sort.SliceStable(queued, func(i, j int) bool {
		a, b := queued[i], queued[j]
		if a.Urgent != b.Urgent {
			return a.Urgent
		}
		if share[a.Team] != share[b.Team] {
			return share[a.Team] < share[b.Team]
		}
		if a.SubmittedMS != b.SubmittedMS {
			return a.SubmittedMS < b.SubmittedMS
		}
		return a.ID < b.ID
	})
	return queued
}

// unplaceableReason returns why a job can never run with the declared quotas
// and workers, or "" if it can.
func (p *planner) unplaceableReason(job *Job, demand fleet.Resources) string {
	quota, known := p.input.Quotas[job.Team]
	if !known {
		return fmt.Sprintf("team %q is not declared", job.Team)
	}
	if !Fits(demand, quota) {
		return fmt.Sprintf("needs %s, the quota of team %q is %s", describe(demand), job.Team, describe(quota))
	}
	if !p.workers.fitsSomeWorker(job, demand) {
		return fmt.Sprintf("needs %s, no worker of its pools has as much for jobs", describe(demand))
	}
	return ""
}

func describe(r fleet.Resources) string {
	return fmt.Sprintf("%.3g cores, %.3g GiB, %d accelerators", r.CPUCores, r.MemoryGiB, r.Accelerators)
}

func (p *planner) addPlacement(job *Job, worker *workerState, demand fleet.Resources) {
	p.plan.Placements = append(p.plan.Placements, Placement{Job: job.ID, Worker: worker.Name, Reservation: demand})
	worker.free = Sub(worker.free, demand)
	worker.placed = true
	p.teamReserved[job.Team] = Add(p.teamReserved[job.Team], demand)
}

// bestFit returns the eligible worker that would have the least free capacity
// left, or nil if the demand fits on none. Best fit preserves large amounts of
// free capacity for large jobs.
func (p *planner) bestFit(job *Job, demand fleet.Resources) *workerState {
	var best *workerState
	leastLeft := 0.0
	for _, worker := range p.workers.candidates(job) {
		if !Fits(demand, worker.free) || !worker.canRun(job) {
			continue
		}
		left := dominantShare(Sub(worker.free, demand), worker.Capacity)
		if best == nil || left < leastLeft {
			best, leastLeft = worker, left
		}
	}
	return best
}
