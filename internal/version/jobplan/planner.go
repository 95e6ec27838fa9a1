package jobplan

import (
	"fmt"
	"sort"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// MaxSteps bounds the placements of one plan, so that a wave of
// submissions does not hold up the next look at the state.
const MaxSteps = 512

// planner is the working state of one plan.
type planner struct {
	input *Input
	plan  Plan
	// teamHeld is what each team holds.
	teamHeld map[string]fleet.Resources
	workers  *workerIndex
}

// NewPlan returns the next steps.
func NewPlan(input *Input) Plan {
	p := newPlanner(input)
	p.escalateOrders()
	p.clearClosedWorkers()
	p.relieveOverload()
	p.placeQueued()
	return p.plan
}

func newPlanner(input *Input) *planner {
	p := &planner{input: input, teamHeld: map[string]fleet.Resources{}, workers: newWorkerIndex(input.Workers)}
	for i := range input.Jobs {
		if job := &input.Jobs[i]; job.Phase == Running {
			p.addRunning(job)
		}
	}
	return p
}

func (p *planner) addRunning(job *Job) {
	p.teamHeld[job.Team] = Add(p.teamHeld[job.Team], job.Reserved)
	worker := p.workers.byName[job.Worker]
	if worker == nil {
		return
	}
	worker.room = Sub(worker.room, job.Reserved)
	worker.running = append(worker.running, job)
	if job.Order != NoOrder {
		worker.freeing = Add(worker.freeing, job.Reserved)
	}
}

// placeQueued starts queued jobs in their order. A job that does not fit
// is passed over and blocks nobody.
func (p *planner) placeQueued() {
	failed := map[demandKey]bool{}
	for _, job := range p.queue() {
		if len(p.plan.Placements) >= MaxSteps {
			return
		}
		demand := Estimate(job, p.input.Observed[KindKey(job.Team, job.Kind)])
		if reason := p.neverFits(job, demand); reason != "" {
			p.plan.Blocked = append(p.plan.Blocked, Blocked{Job: job.ID, Reason: reason})
			continue
		}
		if !Fits(Add(p.teamHeld[job.Team], demand), p.input.Quotas[job.Team]) {
			continue
		}
		key := demandKey{demand: demand, pools: fmt.Sprint(job.Pools), avoid: fmt.Sprint(job.AvoidWorkers)}
		if failed[key] && !job.Urgent {
			continue
		}
		if worker := p.choose(job, demand); worker != nil {
			p.place(job, worker, demand)
			continue
		}
		failed[key] = true
		if job.Urgent {
			p.makeRoom(job, demand)
		}
	}
}

// demandKey groups jobs that fit nowhere for the same reason.
type demandKey struct {
	demand       fleet.Resources
	pools, avoid string
}

// queue orders the queued jobs: urgent ones first, then teams by the share
// of their quota that they hold, then the order of submission.
func (p *planner) queue() []*Job {
	var queued []*Job
	for i := range p.input.Jobs {
		if p.input.Jobs[i].Phase == Queued {
			queued = append(queued, &p.input.Jobs[i])
		}
	}
	share := map[string]float64{}
	for team, quota := range p.input.Quotas {
		share[team] = dominantShare(p.teamHeld[team], quota)
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

// neverFits returns why a job can never run as things are declared, or "".
func (p *planner) neverFits(job *Job, demand fleet.Resources) string {
	quota, known := p.input.Quotas[job.Team]
	if !known {
		return fmt.Sprintf("team %q is not declared", job.Team)
	}
	if !Fits(demand, quota) {
		return fmt.Sprintf("needs %s, the quota of team %q is %s", describe(demand), job.Team, describe(quota))
	}
	if !p.workers.everFits(job, demand) {
		return fmt.Sprintf("needs %s, no worker of its pools has as much for jobs", describe(demand))
	}
	return ""
}

func describe(r fleet.Resources) string {
	return fmt.Sprintf("%.3g cores, %.3g GiB, %d accelerators", r.CPUCores, r.MemoryGiB, r.Accelerators)
}

func (p *planner) place(job *Job, worker *workerState, demand fleet.Resources) {
	p.plan.Placements = append(p.plan.Placements, Placement{Job: job.ID, Worker: worker.Name, Reservation: demand})
	worker.room = Sub(worker.room, demand)
	worker.placed = true
	p.teamHeld[job.Team] = Add(p.teamHeld[job.Team], demand)
}

// choose returns the open worker with the least room in which the demand
// fits, or nil. Best fit keeps large rooms whole for large jobs.
func (p *planner) choose(job *Job, demand fleet.Resources) *workerState {
	var best *workerState
	bestLeft := 0.0
	for _, worker := range p.workers.candidates(job) {
		if !Fits(demand, worker.room) || !worker.mayTake(job) {
			continue
		}
		left := dominantShare(Sub(worker.room, demand), worker.Capacity)
		if best == nil || left < bestLeft {
			best, bestLeft = worker, left
		}
	}
	return best
}
