// Package quota counts what the client accounts have executing and waiting, for the
// decisions of a leader's round, and reports what their quotas and shares delay.
package quota

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/fairshare"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// An account may be drained for a large task that its quota holds back for drainTime of
// each drainInterval. Its smaller tasks, which would fit, wait no longer than that for it,
// also if the tasks that it executes take long. The large task waits for the rest of the
// interval and for tasks of up to 1.4 s, which is less than 3 s.
const (
	drainInterval = 3 * time.Second
	drainTime     = 2 * time.Second
)

// logInterval is the interval of the log lines about one account.
const logInterval = time.Second

// Metrics of client accounts.
var (
	heldByQuota     = metrics.NewCounter(`arbutus_starts_held_by_quota_total`)
	passedByShare   = metrics.NewCounter(`arbutus_steps_passed_by_share_total`)
	overRateWaiting atomic.Int64
	_               = metrics.NewGauge(`arbutus_jobs_over_rate_waiting`, func() float64 { return float64(overRateWaiting.Load()) })
)

// MayDrain reports whether an account may be drained for a large task, some time after
// the term of the leader began.
func MayDrain(sinceTerm time.Duration) bool { return sinceTerm%drainInterval < drainTime }

// RecordedUse returns the recorded use of the accounts, or nil if there are none.
func RecordedUse(v *workstate.View) *fairshare.Accounts {
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

// TasksWithin returns how many waiting tasks of a group a pool needs room for, and
// counts them. No VMs are moved for tasks that a quota holds back.
func TasksWithin(quotas *fairshare.Accounts, g *placement.Group) int {
	if quotas == nil {
		return len(g.Indexes)
	}
	tasks := quotas.Startable(g.Account, g.Need(), len(g.Indexes), g.Gang)
	quotas.Starts(g.Account, g.Service, g.Need(), g.Charge, tasks)
	return tasks
}

// CountRun counts a run of a task against the account of its job, if that is known.
func CountRun(v *workstate.View, accounts *fairshare.Accounts, id workload.TaskID) {
	if job := v.Job(id.Job); job != nil && job.Account != "" && id.Step < len(job.Spec.Steps) {
		accounts.Executes(job.Account, job.Spec.Steps[id.Step].Need)
	}
}

// CountShares counts what each account has executing and waiting in each pool.
func CountShares(v *workstate.View, accounts *fairshare.Accounts, groups []*placement.Group) {
	for _, job := range v.Active() {
		if job.Executing > 0 {
			accounts.Occupies(job.Account, v.ServiceOf(job), ExecutingCharge(job))
			countLasting(accounts, job)
		}
	}
	for _, g := range groups {
		accounts.Occupies(g.Account, g.Service, workload.Resources{})
	}
}

// ExecutingCharge returns what the executing tasks of a job take.
func ExecutingCharge(job *workstate.Job) (sum workload.Resources) {
	for k := range job.Occurrences {
		for s := range job.Occurrences[k].Steps {
			running := int64(job.Occurrences[k].Steps[s].Running)
			charge := job.Spec.Steps[s].Charge()
			sum = sum.Add(workload.Resources{MilliCPU: running * charge.MilliCPU, MemoryMB: running * charge.MemoryMB, GPU: running * charge.GPU})
		}
	}
	return sum
}

// countLasting counts the needs of the executing long-running tasks of a job.
func countLasting(accounts *fairshare.Accounts, job *workstate.Job) {
	for k := range job.Occurrences {
		for s := range job.Occurrences[k].Steps {
			step := &job.Spec.Steps[s]
			if !step.LongRunning {
				continue
			}
			for range job.Occurrences[k].Steps[s].Running {
				accounts.Lasts(job.Account, step.Need)
			}
		}
	}
}

// Log counts and logs what the quotas and shares of accounts delay, each account at
// most once per interval. The zero value is ready for use. It is not safe for
// concurrent use.
type Log struct {
	since time.Time
	// logged is the set of accounts with a line since then.
	logged map[string]bool
}

// Report counts and logs what the quotas and shares of accounts have delayed.
func (l *Log) Report(log *slog.Logger, accounts *fairshare.Accounts, now time.Time) {
	if accounts == nil {
		return
	}
	if now.Sub(l.since) >= logInterval {
		*l = Log{since: now, logged: map[string]bool{}}
	}
	for _, use := range accounts.Delayed() {
		heldByQuota.Add(use.Held)
		passedByShare.Add(use.Passed)
		if l.logged[use.Account] {
			continue
		}
		l.logged[use.Account] = true
		log.Info("tasks of an account wait", "account", use.Account, "held_by_quota", use.Held, "steps_passed_by_share", use.Passed, "use", use.Use, "limit", use.Limit)
	}
}

// RecordOverRate records how many waiting jobs exceeded the rate of their account.
func RecordOverRate(v *workstate.View, groups []*placement.Group) {
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

// ResetOverRate records that no job waits, at the end of a term.
func ResetOverRate() { overRateWaiting.Store(0) }
