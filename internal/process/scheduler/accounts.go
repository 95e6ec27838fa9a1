package scheduler

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/fairshare"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// orderByShare is whether groups of accounts above their weighted share of a pool come
// after those of others in the same tier.
const orderByShare = true

// An account may be drained for a large task that its quota holds back for quotaDrainTime of
// each quotaDrainInterval. Its smaller tasks, which would fit, wait no longer than that for it,
// also if the tasks that it executes take long. The large task waits for the rest of the
// interval and for tasks of up to 1.4 s, which is less than 3 s.
const (
	quotaDrainInterval = 3 * time.Second
	quotaDrainTime     = 2 * time.Second
)

// accountLogInterval is the interval of the log lines about one account.
const accountLogInterval = time.Second

// Metrics of client accounts.
var (
	heldByQuota     = metrics.NewCounter(`arbutus_starts_held_by_quota_total`)
	passedByShare   = metrics.NewCounter(`arbutus_steps_passed_by_share_total`)
	overRateWaiting atomic.Int64
	_               = metrics.NewGauge(`arbutus_jobs_over_rate_waiting`, func() float64 { return float64(overRateWaiting.Load()) })
)

// accounts returns what the client accounts execute, or nil if there are none.
func (l *loop) accounts(v *workstate.View, u *usage, groups []*placement.Group, now time.Time) *fairshare.Accounts {
	if len(v.Catalog().Accounts) == 0 {
		return nil
	}
	accounts := quotaUse(v)
	accounts.ByShare = orderByShare
	accounts.MayDrain = now.Sub(l.since)%quotaDrainInterval < quotaDrainTime
	if accounts.Limited() {
		l.countUnrecordedUse(v, u, accounts, now)
	}
	if accounts.ByShare {
		l.countShares(v, accounts, groups)
	}
	return accounts
}

// quotaUse returns the recorded use of the accounts, or nil if there are none.
func quotaUse(v *workstate.View) *fairshare.Accounts {
	list := v.Catalog().Accounts
	if len(list) == 0 {
		return nil
	}
	accounts := fairshare.New(list)
	for name, use := range v.AccountUse() {
		accounts.Executes(name, use)
	}
	return accounts
}

// tasksWithinQuota returns how many waiting tasks of a group a pool needs room for, and
// counts them. No VMs are moved for tasks that a quota holds back.
func tasksWithinQuota(quotas *fairshare.Accounts, g *placement.Group) int {
	if quotas == nil {
		return len(g.Indexes)
	}
	tasks := quotas.Startable(g.Account, g.Need(), len(g.Indexes), g.Gang)
	quotas.Starts(g.Account, g.Service, g.Need(), g.Charge, tasks)
	return tasks
}

// countUnrecordedUse counts the runs that workers report and that are no longer recorded
// against the accounts of their jobs. Those of a worker that has left, or whose leases have
// expired, have ended.
func (l *loop) countUnrecordedUse(v *workstate.View, u *usage, accounts *fairshare.Accounts, now time.Time) {
	for _, w := range l.workerList {
		if w.report == nil || len(w.report.running) <= u.load(w).listed {
			continue
		}
		if w.left() || w.unresponsive && w.leasesExpired(now, l.Limits.LongestLease) {
			continue
		}
		for key := range w.report.running {
			if r := l.recordedRun(key); r == nil || r.worker != w.reg.ID {
				countUnrecordedRun(v, accounts, key)
			}
		}
	}
}

// countUnrecordedRun counts a run against the account of its job, if that is known.
func countUnrecordedRun(v *workstate.View, accounts *fairshare.Accounts, key runKey) {
	if job := v.Job(key.task.Job); job != nil && job.Account != "" && key.task.Step < len(job.Spec.Steps) {
		accounts.Executes(job.Account, job.Spec.Steps[key.task.Step].Need)
	}
}

// countShares counts what each account has executing and waiting in each pool.
func (l *loop) countShares(v *workstate.View, accounts *fairshare.Accounts, groups []*placement.Group) {
	for _, w := range l.workerList {
		accounts.HasCapacity(w.reg.Service, w.reg.Capacity)
	}
	for _, job := range v.Active() {
		if job.Executing > 0 {
			countExecuting(v, accounts, job)
		}
	}
	for _, g := range groups {
		accounts.Occupies(g.Account, g.Service, workload.Resources{})
	}
}

// countExecuting counts what the executing tasks of a job take.
func countExecuting(v *workstate.View, accounts *fairshare.Accounts, job *workstate.Job) {
	var charge workload.Resources
	for k := range job.Occurrences {
		for s := range job.Occurrences[k].Steps {
			step := &job.Spec.Steps[s]
			for range job.Occurrences[k].Steps[s].Running {
				charge = charge.Add(step.Charge())
				if step.LongRunning {
					accounts.Lasts(job.Account, step.Need)
				}
			}
		}
	}
	accounts.Occupies(job.Account, v.ServiceOf(job), charge)
}

// accountLog bounds the log lines about accounts.
type accountLog struct {
	since time.Time
	// logged is the set of accounts with a line since then.
	logged map[string]bool
}

// reportDelayed counts and logs what the quotas and shares of accounts have delayed.
func (l *loop) reportDelayed(accounts *fairshare.Accounts, now time.Time) {
	if accounts == nil {
		return
	}
	if now.Sub(l.accountLog.since) >= accountLogInterval {
		l.accountLog = accountLog{since: now, logged: map[string]bool{}}
	}
	for _, use := range accounts.Delayed() {
		heldByQuota.Add(use.Held)
		passedByShare.Add(use.Passed)
		if l.accountLog.logged[use.Account] {
			continue
		}
		l.accountLog.logged[use.Account] = true
		l.Log.Info("tasks of an account wait", "account", use.Account, "held_by_quota", use.Held, "steps_passed_by_share", use.Passed, "use", use.Use, "limit", use.Limit)
	}
}

// recordOverRate records how many waiting jobs exceeded the rate of their account.
func recordOverRate(v *workstate.View, groups []*placement.Group) {
	count, last := int64(0), ""
	if len(v.Catalog().Accounts) > 0 {
		for _, g := range groups {
			if g.Job != last && v.Job(g.Job).OverRate {
				count++
			}
			last = g.Job
		}
	}
	overRateWaiting.Store(count)
}
