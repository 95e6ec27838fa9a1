package fairshare

import (
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// largeFraction is the reciprocal of the fraction of a quota above which a need is large.
// A task that is not large fits whenever its account uses less than that fraction.
const largeFraction = 2

// Accounts holds the use of all accounts in one plan.
type Accounts struct {
	accounts map[string]*account
	pools    map[string]*pool
	// ByShare is set if groups of accounts above their share come after the others.
	ByShare bool
	// MayDrain is set if accounts may be drained in this plan.
	MayDrain bool
}

// account is what the plan knows of one client account.
type account struct {
	limit, use workload.Resources
	// lasting is the part of the use that does not end.
	lasting workload.Resources
	weight  float64
	// held counts the tasks that did not start because of the quota, passed the groups
	// that came after others because of the share.
	held, passed int
	// draining is set if a large need waits for the account's other tasks to end.
	draining bool
}

// Use is the use of an account of which something was delayed in a plan.
type Use struct {
	Account    string
	Use, Limit workload.Resources
	// Held counts the tasks that the quota held back, Passed the groups that came after
	// those of other accounts.
	Held, Passed int
}

// New returns the accounts of a catalog, which execute nothing.
func New(list []catalog.Account) *Accounts {
	a := &Accounts{accounts: make(map[string]*account, len(list)+1), pools: map[string]*pool{}}
	for i := range list {
		a.accounts[list[i].Name] = &account{limit: list[i].Limit, weight: list[i].Weight}
	}
	return a
}

// of returns the account with a name. Calls without a key share an account without a
// limit, and so do the jobs of each account that is no longer in the catalog.
func (a *Accounts) of(name string) *account {
	acc := a.accounts[name]
	if acc == nil {
		acc = &account{}
		a.accounts[name] = acc
	}
	return acc
}

// Limited reports whether an account has a quota.
func (a *Accounts) Limited() bool {
	for _, acc := range a.accounts {
		if acc.limited() {
			return true
		}
	}
	return false
}

func (acc *account) limited() bool { return acc.limit != (workload.Resources{}) }

// Executes counts what an account has executing against its quota.
func (a *Accounts) Executes(name string, need workload.Resources) {
	acc := a.of(name)
	acc.use = acc.use.Add(need)
}

// Lasts counts long-running tasks, which Executes counts too.
func (a *Accounts) Lasts(name string, need workload.Resources) {
	acc := a.of(name)
	acc.lasting = acc.lasting.Add(need)
}

// Startable returns how many of a number of equal tasks of an account may start, or, of a
// gang, all or none. An account that executes nothing may start one task, or one gang,
// that is larger than its quota.
func (a *Accounts) Startable(name string, need workload.Resources, tasks int, gang bool) int {
	acc := a.of(name)
	if !acc.limited() {
		return tasks
	}
	startable := 0
	if !acc.draining {
		startable = acc.startable(need, tasks, gang)
	}
	acc.held += tasks - startable
	return startable
}

// MayDrainFor reports whether an account is to be drained for a task, or a whole gang, that
// its quota holds back: if it needs more than is certain to be free while the account uses
// less than 1/largeFraction of its quota. Otherwise smaller tasks would take the room that
// becomes free for as long as there are any. It is never so unless MayDrain is set, nor if the
// account's long-running tasks leave too little of the quota.
func (a *Accounts) MayDrainFor(name string, need workload.Resources, tasks int, gang bool) bool {
	acc := a.of(name)
	if !a.MayDrain || acc.draining || !acc.isLarge(need, tasks, gang) {
		return false
	}
	drained := account{limit: acc.limit, use: acc.lasting}
	return drained.startable(need, tasks, gang) > 0
}

// Underused reports whether an account uses less than 1/largeFraction of its quota. What
// waits for the quota then is to start before anything else of the account.
func (a *Accounts) Underused(name string) bool {
	acc := a.of(name)
	under := func(limit, use int64) bool { return limit == 0 || largeFraction*use < limit }
	return under(acc.limit.MilliCPU, acc.use.MilliCPU) && under(acc.limit.MemoryMB, acc.use.MemoryMB) && under(acc.limit.GPU, acc.use.GPU)
}

// Drain keeps the account from starting anything until Resume.
func (a *Accounts) Drain(name string) { a.of(name).draining = true }

// Resume ends the effect of Drain.
func (a *Accounts) Resume(name string) { a.of(name).draining = false }

func (acc *account) startable(need workload.Resources, tasks int, gang bool) int {
	idle := acc.use == (workload.Resources{})
	if gang {
		if idle || acc.fitting(need, tasks) == tasks {
			return tasks
		}
		return 0
	}
	if idle {
		return max(min(1, tasks), acc.fitting(need, tasks))
	}
	return acc.fitting(need, tasks)
}

// fitting returns how many of a number of equal tasks fit into the rest of the quota.
func (acc *account) fitting(need workload.Resources, tasks int) int {
	count := int64(tasks)
	for _, r := range [...]struct{ limit, use, need int64 }{
		{acc.limit.MilliCPU, acc.use.MilliCPU, need.MilliCPU},
		{acc.limit.MemoryMB, acc.use.MemoryMB, need.MemoryMB},
		{acc.limit.GPU, acc.use.GPU, need.GPU},
	} {
		switch rest := r.limit - r.use; {
		case r.limit == 0:
		case rest < 0:
			return 0
		case r.need > 0:
			count = min(count, rest/r.need)
		}
	}
	return int(count)
}

// isLarge reports whether a task, or a whole gang, needs more than 1/largeFraction of the
// quota of a resource.
func (acc *account) isLarge(need workload.Resources, tasks int, gang bool) bool {
	count := int64(1)
	if gang {
		count = int64(tasks)
	}
	over := func(limit, need int64) bool { return limit > 0 && largeFraction*count*need > limit }
	return over(acc.limit.MilliCPU, need.MilliCPU) || over(acc.limit.MemoryMB, need.MemoryMB) || over(acc.limit.GPU, need.GPU)
}

// Starts counts tasks that the plan starts on a pool. The need counts against the quota,
// the charge as a part of the pool.
func (a *Accounts) Starts(name, pool string, need, charge workload.Resources, tasks int) {
	a.Executes(name, times(need, tasks))
	a.Occupies(name, pool, times(charge, tasks))
}

func times(r workload.Resources, n int) workload.Resources {
	return workload.Resources{MilliCPU: r.MilliCPU * int64(n), MemoryMB: r.MemoryMB * int64(n), GPU: r.GPU * int64(n)}
}

// Delayed returns the accounts of which something was held back or passed.
func (a *Accounts) Delayed() []Use {
	var list []Use
	for name, acc := range a.accounts {
		if acc.held > 0 || acc.passed > 0 {
			list = append(list, Use{Account: name, Use: acc.use, Limit: acc.limit, Held: acc.held, Passed: acc.passed})
		}
	}
	return list
}
