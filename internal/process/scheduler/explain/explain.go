package explain

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/process/scheduler/admit"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/access"
	"arbutusward.example/arbutusward/internal/version/fairshare"
	"arbutusward.example/arbutusward/internal/version/jobmemory"
	"arbutusward.example/arbutusward/internal/version/placement"
)

// maxListed bounds the workers that are listed of each step.
const maxListed = 20

// Snapshot is what the leader knows at a time. An explanation uses it up.
type Snapshot struct {
	Subject
	Term uint64
	At   time.Time
	// Groups lists all that waits, with the groups of the query's job.
	Groups []*placement.Group
	// Open lists the workers that accept tasks.
	Open []*placement.Worker
	// Closed tells why other workers of the queue's service don't, by id.
	Closed map[string]string
	// AnsweredAt is when workers last answered, by id.
	AnsweredAt map[string]time.Time
	// Accounts is nil without client accounts.
	Accounts *fairshare.Accounts
	// Load is the load by which jobs are refused, or nil.
	Load *admit.Snapshot
	// Memory is the verdict by the memory of jobs.
	Memory jobmemory.Verdict
	// Advised is set if an adviser restricts the queue's tasks to some workers.
	Advised bool
}

// Explain answers a query by a snapshot.
func Explain(s *Snapshot) *Answer {
	a := &Answer{Term: s.Term, Version: s.CatalogVersion, Access: s.Denied.String()}
	if s.Queue != nil {
		a.Queue = &Queue{Name: s.Queue.Name, PathPrefix: s.Queue.PathPrefix, Service: s.Queue.Service, Priority: s.Queue.Priority}
	}
	if s.Denied != access.Allowed || s.Queue == nil {
		return a
	}
	a.Account = s.account()
	a.Workers = s.workers()
	a.Admission = s.admission()
	if s.Known != nil {
		a.Job = &Job{State: state(s.Known), AgeMS: s.Known.Age.Milliseconds(), OverRate: s.Known.OverRate}
	}
	a.Steps = s.steps()
	a.Unknown = s.unknown()
	return a
}

func state(job *KnownJob) string {
	switch job.Outcome {
	case workstate.Succeeded:
		return "succeeded"
	case workstate.Failed:
		return "failed"
	case workstate.Cancelled:
		return "cancelled"
	}
	if job.Started {
		return "running"
	}
	return "waiting"
}

func (s *Snapshot) account() *Account {
	if s.Account == nil {
		return nil
	}
	return &Account{
		Name: s.Account.Name, Weight: s.Account.Weight, OverRate: s.OverRate, Use: resources(s.Use), Limit: resources(s.Account.Limit),
		AboveShare: s.Accounts != nil && s.Accounts.AboveShare(s.Account.Name, s.Queue.Service),
	}
}

// workers counts the workers of the queue's service.
func (s *Snapshot) workers() []Workers {
	byState := map[string]*Workers{}
	add := func(id, state string) *Workers {
		found := byState[state]
		if found == nil {
			found = &Workers{State: state}
			byState[state] = found
		}
		found.Count++
		found.OldestMS = max(found.OldestMS, s.ageMS(id))
		return found
	}
	for _, w := range s.Open {
		if w.Service == s.Queue.Service {
			found := add(w.ID, "accept tasks")
			found.Free.MilliCPU += w.Free.MilliCPU
			found.Free.MemoryMB += w.Free.MemoryMB
			found.Free.GPU += w.Free.GPU
		}
	}
	for id, reason := range s.Closed {
		add(id, reason)
	}
	var list []Workers
	for _, state := range slices.Sorted(maps.Keys(byState)) {
		list = append(list, *byState[state])
	}
	return list
}

func (s *Snapshot) ageMS(worker string) int64 {
	if at := s.AnsweredAt[worker]; !at.IsZero() {
		return s.At.Sub(at).Milliseconds()
	}
	return 0
}

// steps tells about the steps of the query's job.
func (s *Snapshot) steps() []Step {
	steps := s.progress()
	placement.Plan(s.Groups, nil)
	starts := s.plan()
	for at, g := range s.Groups {
		if g.Job != s.ID || g.Step >= len(steps) {
			continue
		}
		step := &steps[g.Step]
		if step.Reason == ReasonEarlier {
			step.Reason, step.Waiting = "", 0
		}
		step.Order = s.order(at)
		waiting := len(g.Indexes)
		for _, count := range starts[g] {
			waiting -= count
		}
		step.Starts = append(step.Starts, s.onWorkers(starts[g])...)
		step.Waiting += waiting
		if waiting > 0 {
			step.Reason = s.reason(g, waiting, starts[g])
		}
	}
	return steps
}

// progress returns the steps of the query's job without what waits.
func (s *Snapshot) progress() []Step {
	var steps []Step
	add := func(tasks int, dependsOn []int) *Step {
		steps = append(steps, Step{Step: len(steps), Tasks: tasks, DependsOn: dependsOn})
		return &steps[len(steps)-1]
	}
	if s.Known != nil {
		for _, known := range s.Known.Steps {
			step := add(known.Tasks, known.DependsOn)
			step.Done, step.Executing = known.Done, s.onWorkers(known.Executing)
			if s.Known.Outcome == workstate.Open && len(known.DependsOn) > 0 && known.Done == 0 && len(known.Executing) == 0 {
				step.Reason, step.Waiting = ReasonEarlier, step.Tasks
			}
		}
		return steps
	}
	if s.Spec == nil {
		return nil
	}
	for i := range s.Spec.Steps {
		step := add(s.Spec.Steps[i].Count, s.Spec.Steps[i].DependsOn)
		if len(step.DependsOn) > 0 {
			step.Reason, step.Waiting = ReasonEarlier, step.Tasks
		}
	}
	return steps
}

// plan plans all that goes before the groups of the query's job and these, which are in
// order, and returns the starts of its groups by worker. Those of the same tier may go before
// them too, if the account has more than its share.
func (s *Snapshot) plan() map[*placement.Group]map[string]int {
	last := -1
	for at, g := range s.Groups {
		if g.Job == s.ID {
			last = at
		}
	}
	end := last + 1
	for last >= 0 && end < len(s.Groups) && sameTier(s.Groups[end], s.Groups[last]) {
		end++
	}
	starts := map[*placement.Group]map[string]int{}
	for _, p := range placement.PlanForAccounts(slices.Clone(s.Groups[:end]), s.Open, s.Accounts) {
		if p.Group.Job != s.ID {
			continue
		}
		if starts[p.Group] == nil {
			starts[p.Group] = map[string]int{}
		}
		starts[p.Group][p.Worker]++
	}
	return starts
}

func sameTier(a, b *placement.Group) bool {
	return a.Suspect == b.Suspect && a.Priority == b.Priority && a.Tier == b.Tier
}

// onWorkers lists a number of tasks by worker.
func (s *Snapshot) onWorkers(counts map[string]int) []OnWorker {
	var list []OnWorker
	for _, id := range slices.Sorted(maps.Keys(counts)) {
		if len(list) <= maxListed {
			list = append(list, OnWorker{Worker: id, Tasks: counts[id], AgeMS: s.ageMS(id)})
			continue
		}
		others := &list[maxListed]
		others.Worker, others.Tasks, others.AgeMS = "", others.Tasks+counts[id], max(others.AgeMS, s.ageMS(id))
	}
	return list
}

// order returns the place of the group at a position.
func (s *Snapshot) order(position int) *Order {
	g := s.Groups[position]
	o := &Order{Priority: g.Priority, Tier: tierName(g.Tier), Rank: g.Rank}
	for _, before := range s.Groups[:position] {
		if before.Service != g.Service || before.Job == g.Job {
			continue
		}
		o.StepsBefore++
		o.TasksBefore += len(before.Indexes)
		if before.Account == g.Account {
			o.OwnTasksBefore += len(before.Indexes)
		}
	}
	return o
}

func tierName(t placement.Tier) string {
	switch t {
	case placement.InTime:
		return "in time"
	case placement.Late:
		return "late"
	case placement.OverRate:
		return "over rate"
	}
	return "of no use"
}

// reason tells why some tasks of a group don't start, after all that goes before has
// been planned with the given starts of the group by worker.
func (s *Snapshot) reason(g *placement.Group, waiting int, starts map[string]int) string {
	open, labelled, below := 0, 0, 0
	for _, w := range s.Open {
		if w.Service != g.Service {
			continue
		}
		open++
		if g.Label != "" && !slices.Contains(w.Labels, g.Label) {
			continue
		}
		labelled++
		if g.MaxPerWorker == 0 || g.OnWorker[w.ID]+starts[w.ID] < g.MaxPerWorker {
			below++
		}
	}
	switch {
	case open == 0:
		return ReasonNoWorker
	case labelled == 0:
		return fmt.Sprintf("%s %s", ReasonLabel, g.Label)
	case s.Accounts != nil && s.Accounts.Startable(g.Account, g.Need(), waiting, g.Gang) == 0:
		return ReasonQuota
	case g.Suspect:
		return ReasonApart
	case below == 0:
		return ReasonMaxPerWorker
	case g.Gang:
		return ReasonGang
	}
	return ReasonRoom
}

// unknown lists what the snapshot does not tell.
func (s *Snapshot) unknown() []string {
	list := []string{"what arrives, starts and ends after the snapshot"}
	if s.Advised {
		list = append(list, "the adviser's tickets, which restrict the tasks to some workers")
	}
	if s.Spec != nil && s.ID == "" {
		list = append(list, "the job's id, from which a part of the time to return follows")
	}
	if s.Spec != nil && s.Load == nil {
		list = append(list, "the load: without access control no job is refused for it, and a new leader has none yet")
	}
	return list
}
