package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/fairshare"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// accountGroup returns a group of tasks of one core of an account.
func accountGroup(account, job string, tasks int, rank float64) *Group {
	g := group(tasks, 1)
	g.Account, g.Job, g.Rank = account, job, rank
	return g
}

func started(plan []Placement) map[string]int {
	count := map[string]int{}
	for _, p := range plan {
		count[p.Group.Job]++
	}
	return count
}

// TestQuotaLeavesTheRoomToOtherAccounts guards against a group held back by its quota that makes the plan believe that its charge fits nowhere.
func TestQuotaLeavesTheRoomToOtherAccounts(t *testing.T) {
	accounts := fairshare.New([]catalog.Account{{Name: "a", Limit: workload.Resources{MilliCPU: 3000}}, {Name: "b"}})
	accounts.Executes("a", workload.Resources{MilliCPU: 1000})
	got := started(PlanForAccounts([]*Group{accountGroup("a", "first", 4, 1), accountGroup("a", "second", 4, 2), accountGroup("b", "third", 4, 3)}, workersOf(8), accounts))
	if got["first"] != 2 || got["second"] != 0 || got["third"] != 4 {
		t.Errorf("started %v", got)
	}
}

// TestLargeTaskGetsTheQuotaThatSmallOnesLeave guards against a task of more than half of the quota that waits for as long as there are smaller ones behind it.
func TestLargeTaskGetsTheQuotaThatSmallOnesLeave(t *testing.T) {
	for _, c := range []struct {
		room     int64
		mayDrain bool
		// small is the number of small tasks that start.
		small int
	}{{8, true, 0}, {8, false, 2}, {3, true, 2}} {
		accounts := fairshare.New([]catalog.Account{{Name: "a", Limit: workload.Resources{MilliCPU: 6000}}})
		accounts.MayDrain = c.mayDrain
		accounts.Executes("a", workload.Resources{MilliCPU: 3000})
		large := accountGroup("a", "large", 1, 1)
		large.Charge.MilliCPU = 4000
		got := started(PlanForAccounts([]*Group{large, accountGroup("a", "small", 2, 2)}, workersOf(c.room), accounts))
		// No worker of three cores can ever take the large task.
		if got["small"] != c.small {
			t.Errorf("%+v: started %v", c, got)
		}
	}
}

// TestQuotaIsReservedOnlyForWhatHasRoom guards against an account whose tasks wait for a large gang that the pool has no room for, and against small ones that take the quota from one that it has room for.
func TestQuotaIsReservedOnlyForWhatHasRoom(t *testing.T) {
	for _, c := range []struct{ room, small, large int64 }{{8, 1, 4}, {3, 3, 0}} {
		accounts := fairshare.New([]catalog.Account{{Name: "a", Limit: workload.Resources{MilliCPU: 6000}}})
		accounts.MayDrain = true
		accounts.Executes("a", workload.Resources{MilliCPU: 1000})
		large := accountGroup("a", "large", 4, 2)
		large.Gang = true
		got := started(PlanForAccounts([]*Group{accountGroup("a", "small", 3, 1), large}, workersOf(c.room), accounts))
		if got["large"] != int(c.large) || got["small"] > int(c.small) || c.large == 0 && got["small"] != int(c.small) {
			t.Errorf("%+v: started %v", c, got)
		}
	}
}

// TestIdleSharesAreLentAtOnce guards against an account that waits for its share while there is room, and against one that takes the room of others when there is none.
func TestIdleSharesAreLentAtOnce(t *testing.T) {
	plan := func(free int64, byShare bool) map[string]int {
		accounts := fairshare.New([]catalog.Account{{Name: "a"}, {Name: "b"}})
		accounts.ByShare = byShare
		accounts.HasCapacity("s", workload.Resources{MilliCPU: 8000})
		accounts.Occupies("a", "s", workload.Resources{MilliCPU: 5000})
		accounts.Occupies("b", "s", workload.Resources{})
		return started(PlanForAccounts([]*Group{accountGroup("a", "a", 2, 1), accountGroup("b", "b", 2, 2)}, workersOf(free), accounts))
	}
	if got := plan(8, true); got["a"] != 2 || got["b"] != 2 {
		t.Errorf("with room for all: started %v", got)
	}
	if got := plan(2, true); got["b"] != 2 {
		t.Errorf("with room for two: started %v", got)
	}
	if got := plan(2, false); got["a"] != 2 {
		t.Errorf("with room for two and no shares: started %v", got)
	}
}

// TestTiers guards against marked jobs that go before others of use or behind those of none, and against a job without an objective that is useless from the start.
func TestTiers(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		waited   time.Duration
		overRate bool
		wanted   Tier
	}{{0, false, InTime}, {0, true, OverRate}, {2 * time.Second, false, Late}, {2 * time.Second, true, OverRate}, {6 * time.Second, false, Useless}, {6 * time.Second, true, Useless}} {
		o := Objective{Accepted: now.Add(-c.waited), Chain: time.Second, Remaining: time.Second, Stretch: 1.6, TargetLatency: 600 * time.Millisecond}
		if got := o.TierAt(now, c.overRate); got != c.wanted {
			t.Errorf("a job that has waited for %s, over rate %t: tier %d, expected %d", c.waited, c.overRate, got, c.wanted)
		}
	}
	none := Objective{Accepted: now.Add(-time.Minute)}
	if got := none.TierAt(now, false); got == Useless {
		t.Error("a job without an objective is useless")
	}
}

// accountLoad is what an account sends in a simulated burst.
type accountLoad struct {
	catalog.Account
	jobsPerSecond func(at time.Duration) float64
	// entitled is the number of jobs per second above which jobs are marked.
	entitled float64
}

// rules selects the rules of a simulated burst.
type rules struct{ tiers, marks, shares bool }

// worths returns the mean worth of the jobs of each account: 1 within the objective,
// falling to 0 at usefulObjectives times it.
func (sim *simulation) worths(loads []accountLoad, r rules) map[string]float64 {
	accountOf, marked := sim.submit(loads)
	byID := map[string]*Worker{}
	for _, w := range sim.workers {
		byID[w.ID] = w
	}
	var running []simulatedRun
	for at := time.Duration(0); at < 40*time.Second; at += 5 * simulationTick {
		now := time.Unix(0, 0).Add(at)
		running = finish(running, now)
		var groups []*Group
		jobs := map[string]*simulatedJob{}
		for _, job := range sim.jobs {
			if job.accepted.After(now) || len(job.unplaced) == 0 {
				continue
			}
			o := job.objective()
			charge := workload.Resources{MilliCPU: job.steps[job.step].milliCPU}
			g := &Group{Job: job.id, Account: accountOf[job.id], Step: job.step, Indexes: job.unplaced, Total: job.steps[job.step].count, Service: "s", Charge: charge, Rank: o.Rank(now)}
			if r.tiers {
				g.Tier = o.TierAt(now, r.marks && marked[job.id])
			}
			jobs[job.id] = job
			groups = append(groups, g)
		}
		for _, p := range PlanForAccounts(groups, sim.workers, sim.accounts(loads, r, running, groups, accountOf)) {
			job := jobs[p.Group.Job]
			job.unplaced = job.unplaced[1:]
			running = append(running, simulatedRun{at: now.Add(job.steps[job.step].durations[p.Index]), job: job, index: p.Index, worker: byID[p.Worker], charge: p.Group.Charge})
		}
	}
	sum, count := map[string]float64{}, map[string]float64{}
	for _, job := range sim.jobs {
		count[accountOf[job.id]]++
		sum[accountOf[job.id]] += job.worth()
	}
	for account := range sum {
		sum[account] /= count[account]
	}
	return sum
}

func (j *simulatedJob) worth() float64 {
	if j.ended.IsZero() {
		return 0
	}
	allowed := simulatedStretch*j.chain(0, actual).Seconds() + simulatedTargetLatency.Seconds()
	late := j.ended.Sub(j.accepted).Seconds()/allowed - 1
	return min(1, max(0, 1-late/(usefulObjectives-1)))
}

// submit draws the jobs of all accounts. It returns the account of each job, and the jobs
// beyond the rate of theirs.
func (sim *simulation) submit(loads []accountLoad) (accountOf map[string]string, marked map[string]bool) {
	accountOf, marked = map[string]string{}, map[string]bool{}
	tokens := make([]float64, len(loads))
	for at := time.Duration(0); at < 12*time.Second; at += simulationTick {
		for i, load := range loads {
			tokens[i] = min(max(1, load.entitled), tokens[i]+load.entitled*simulationTick.Seconds())
			if sim.random.Float64() >= load.jobsPerSecond(at)*simulationTick.Seconds() {
				continue
			}
			job := sim.newJob(len(sim.jobs), time.Unix(0, 0).Add(at))
			sim.jobs = append(sim.jobs, job)
			accountOf[job.id] = load.Name
			if marked[job.id] = tokens[i] < 1; !marked[job.id] {
				tokens[i]--
			}
		}
	}
	return accountOf, marked
}

func (sim *simulation) accounts(loads []accountLoad, r rules, running []simulatedRun, groups []*Group, accountOf map[string]string) *fairshare.Accounts {
	var list []catalog.Account
	for _, load := range loads {
		list = append(list, load.Account)
	}
	accounts := fairshare.New(list)
	accounts.ByShare = r.shares
	for range sim.workers {
		accounts.HasCapacity("s", workload.Resources{MilliCPU: 64000, MemoryMB: 1 << 20})
	}
	for _, e := range running {
		accounts.Executes(accountOf[e.job.id], e.charge)
		accounts.Occupies(accountOf[e.job.id], "s", e.charge)
	}
	for _, g := range groups {
		accounts.Occupies(g.Account, "s", workload.Resources{})
	}
	return accounts
}

func newPool(seed uint64, workers int) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1))}
	for i := range workers {
		sim.workers = append(sim.workers, &Worker{ID: fmt.Sprint("w", i), Service: "s", Free: workload.Resources{MilliCPU: 64000, MemoryMB: 1 << 20}})
	}
	return sim
}

// meanWorths returns the mean worths over several seeds.
func meanWorths(workers int, loads []accountLoad, r rules) map[string]float64 {
	const seeds = 4
	mean := map[string]float64{}
	for seed := range uint64(seeds) {
		for account, worth := range newPool(seed, workers).worths(loads, r) {
			mean[account] += worth / seeds
		}
	}
	return mean
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// surge is a rate that is a number of times higher for 4 s.
func surge(rate, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 3*time.Second && at < 7*time.Second {
			return rate * factor
		}
		return rate
	}
}

// TestAccountThatSendsSixTimesItsUsualHarmsItself guards against callers that lose the worth of their jobs to an account that sends more than it is entitled to. The load is a pool of 6 workers, three steady accounts and one that sends 6 times its usual for 4 s.
func TestAccountThatSendsSixTimesItsUsualHarmsItself(t *testing.T) {
	loads := []accountLoad{
		{catalog.Account{Name: "light", Weight: 3}, steady(2.5), 3}, {catalog.Account{Name: "heavy", Weight: 9}, steady(8), 9},
		{catalog.Account{Name: "small", Weight: 1}, steady(0.8), 1}, {catalog.Account{Name: "surging", Weight: 7}, surge(6, 6), 7},
	}
	without := meanWorths(6, loads, rules{})
	// A bucket of one job marks many jobs of "small", which sends at random times, so that
	// it gains by shares only.
	for _, c := range []struct {
		rules
		gaining []string
	}{{rules{tiers: true}, nil}, {rules{tiers: true, marks: true}, []string{"light", "heavy"}}, {rules{tiers: true, shares: true}, []string{"light", "heavy", "small"}}, {rules{true, true, true}, []string{"heavy"}}} {
		with := meanWorths(6, loads, c.rules)
		t.Logf("%+v: worth %s, without %s", c.rules, worthsText(with), worthsText(without))
		for _, account := range c.gaining {
			if with[account] < without[account]+0.05 {
				t.Errorf("%+v: worth of %s %.2f, without the rules %.2f", c.rules, account, with[account], without[account])
			}
		}
	}
}

func worthsText(worths map[string]float64) string {
	var list []string
	for _, account := range slices.Sorted(maps.Keys(worths)) {
		list = append(list, fmt.Sprintf("%s %.2f", account, worths[account]))
	}
	return strings.Join(list, ", ")
}

// TestWorthInABurstOfAllAccounts guards against rules that take more worth in a burst than they save. The load is a pool of 6 workers that gets 5 times its mean for 4 s, from accounts of different weights in proportion to their weight.
func TestWorthInABurstOfAllAccounts(t *testing.T) {
	loads := []accountLoad{{catalog.Account{Name: "1", Weight: 1}, surge(1, 5), 9}, {catalog.Account{Name: "3", Weight: 3}, surge(3, 5), 27}, {catalog.Account{Name: "9", Weight: 9}, surge(9, 5), 81}}
	without := meanWorths(6, loads, rules{})
	for _, r := range []rules{{tiers: true}, {tiers: true, shares: true}} {
		with := meanWorths(6, loads, r)
		t.Logf("%+v: worth %s, without %s", r, worthsText(with), worthsText(without))
		for account, worth := range with {
			if worth < without[account]-0.03 {
				t.Errorf("%+v: worth of %s %.2f, without the rules %.2f", r, account, worth, without[account])
			}
		}
	}
}
