package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/scheduler/quota"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/fairshare"
	"arbutusward.example/arbutusward/internal/version/placement"
)

// orderByShare is whether groups of accounts above their weighted share of a pool come
// after those of others in the same tier.
const orderByShare = true

// accounts returns what the client accounts execute, or nil if there are none.
func (l *loop) accounts(v *workstate.View, u *usage, groups []*placement.Group, now time.Time) *fairshare.Accounts {
	if len(v.Catalog().Accounts) == 0 {
		return nil
	}
	accounts := quota.RecordedUse(v)
	accounts.ByShare = orderByShare
	accounts.MayDrain = quota.MayDrain(now.Sub(l.since))
	if accounts.Limited() {
		l.countUnrecordedUse(v, u, accounts, now)
	}
	if accounts.ByShare {
		for _, w := range l.workerList {
			accounts.HasCapacity(w.reg.Service, w.reg.Capacity)
		}
		quota.CountShares(v, accounts, groups)
	}
	return accounts
}

// countUnrecordedUse counts the runs that workers report and that are no longer recorded
// against the accounts of their jobs. Those of a worker that has left, or whose leases have
// expired, have ended.
func (l *loop) countUnrecordedUse(v *workstate.View, u *usage, accounts *fairshare.Accounts, now time.Time) {
	for _, w := range l.workerList {
		if w.report == nil || len(w.report.running) <= u.load(w).listed {
			continue
		}
		if w.left() || w.unresponsive && w.lease.Expired(now, l.Limits.LongestLease) {
			continue
		}
		for key := range w.report.running {
			if r := l.recordedRun(key); r == nil || r.worker != w.reg.ID {
				quota.CountRun(v, accounts, key.task)
			}
		}
	}
}
