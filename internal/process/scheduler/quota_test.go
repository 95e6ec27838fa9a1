package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// accountDelay is the time from the submission of an account's job until it is due.
const accountDelay = 50 * time.Millisecond

// quotaCheck reports starts that bring an account above its limit, by what the workers
// execute.
type quotaCheck struct {
	limits map[string]workload.Resources
	// accounts holds the account of each job.
	accounts map[string]string
	// most is the most that each account had executing, in thousandths of a core.
	most map[string]int64
}

// limitAccounts gives accounts a limit in thousandths of a core each.
func (f *fixture) limitAccounts(limits map[string]int64) {
	q := &quotaCheck{limits: map[string]workload.Resources{}, accounts: map[string]string{}, most: map[string]int64{}}
	for name, milliCPU := range limits {
		q.limits[name] = workload.Resources{MilliCPU: milliCPU}
	}
	f.workers.mu.Lock()
	f.workers.quotas = q
	f.workers.mu.Unlock()
	f.commitAccounts()
}

// commitAccounts commits a catalog that has the accounts.
func (f *fixture) commitAccounts() {
	var c catalog.Catalog
	f.machine.Read(func(v *workstate.View) { c = *v.Catalog() })
	c.Version++
	c.Accounts = nil
	for name, limit := range f.workers.quotas.limits {
		c.Accounts = append(c.Accounts, catalog.Account{Name: name, Limit: limit})
	}
	f.commit(&workstate.Command{Catalog: &c})
}

// submitAs submits a job of an account. It is due a little later, so that no task of it
// starts before its account is set.
func (f *fixture) submitAs(account, id string, steps ...workload.Step) {
	f.t.Helper()
	spec := workload.Spec{Payload: "p", Steps: steps, Repeat: 1, FirstDueMS: time.Now().Add(accountDelay).UnixMilli()}
	f.workers.mu.Lock()
	f.workers.submitted[id] = spec
	f.workers.quotas.accounts[id] = account
	f.workers.mu.Unlock()
	submit := &workstate.Command{Submit: &workstate.Submit{ID: id, Host: "host", Path: "/q/" + id, Spec: spec}}
	if r := f.commit(submit); r.Code != workstate.OK {
		f.t.Fatalf("submit: %+v", r)
	}
	f.machine.Read(func(v *workstate.View) { v.Job(id).Account = account })
	// The repetition changes nothing, and orders the reads of the account after the write.
	f.commit(submit)
}

// check reports a start that brings the task's account above its limit. An account that
// executes nothing may start one larger task or gang.
func (q *quotaCheck) check(f *fakeWorkers, task workload.TaskID) {
	account := q.accounts[task.Job]
	limit, limited := q.limits[account]
	if account == "" || !limited {
		return
	}
	sum, alone := f.submitted[task.Job].Steps[task.Step].Need, true
	for _, w := range f.workers {
		for other := range w.running {
			if q.accounts[other.Job] == account {
				spec := f.submitted[other.Job]
				sum = sum.Add(spec.Steps[other.Step].Need)
				alone = alone && spec.Steps[other.Step].Gang && other.StepID() == task.StepID()
			}
		}
	}
	q.most[account] = max(q.most[account], sum.MilliCPU)
	if sum.MilliCPU > limit.MilliCPU && !alone {
		f.t.Errorf("QUOTA: the start of %s brings %s to %+v of %+v", task, account, sum, limit)
	}
}

// most returns the most that an account had executing, in thousandths of a core, since the
// last call.
func (f *fixture) most(account string) int64 {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	most := f.workers.quotas.most[account]
	f.workers.quotas.most[account] = 0
	return most
}

const jobB = "bbbbbbbbbbbbbbbb"

// quotaFixture returns a leader with eight free cores and an account that may use three.
func quotaFixture(t *testing.T, duration time.Duration) *fixture {
	f := newFixture(t, duration)
	f.addWorker("w1", 4000)
	f.addWorker("w2", 4000)
	f.limitAccounts(map[string]int64{"a": 3000})
	f.lead()
	time.Sleep(time.Second)
	return f
}

// TestAccountExecutesUpToItsQuota guards against an account above its quota, and against one that leaves half of it unused while its tasks wait, also with a new leader.
func TestAccountExecutesUpToItsQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := quotaFixture(t, time.Second)
		defer func() { f.depose() }()
		f.submitAs("a", jobA, step(8))
		f.submitAs("", jobB, step(4))
		f.await(jobB, workstate.Succeeded, 1500*time.Millisecond)
		f.depose()
		f.lead()
		f.await(jobA, workstate.Succeeded, 5*time.Second)
		if most := f.most("a"); most != 3000 {
			t.Errorf("the account executed up to %d, its limit is 3000", most)
		}
	})
}

// TestRunsThatAreNotKnownToHaveEndedCountAgainstTheQuota guards against starts beside runs whose starts are unanswered, that are being stopped, or that execute on a worker that is cut off.
func TestRunsThatAreNotKnownToHaveEndedCountAgainstTheQuota(t *testing.T) {
	for name, trouble := range map[string]func(f *fixture, w *fakeWorker){
		"start unanswered": func(_ *fixture, w *fakeWorker) { w.loseStarts = 3 },
		"slow stop":        func(_ *fixture, w *fakeWorker) { w.stopTime = 2 * time.Second },
		"cut off": func(f *fixture, w *fakeWorker) {
			time.AfterFunc(300*time.Millisecond, func() { f.setUnreachable(w, true) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := quotaFixture(t, 5*time.Second)
				defer func() { f.depose() }()
				for _, w := range f.workers.workers {
					trouble(f, w)
				}
				f.submitAs("a", jobA, step(3))
				time.Sleep(500 * time.Millisecond)
				f.submitAs("a", jobB, step(3))
				time.Sleep(500 * time.Millisecond)
				f.commit(&workstate.Command{Cancel: &workstate.Cancel{ID: jobA}})
				time.Sleep(2 * time.Second)
				for _, w := range f.workers.workers {
					f.setUnreachable(w, false)
				}
				f.await(jobB, workstate.Succeeded, 20*time.Second)
			})
		})
	}
}

// TestMembersOfAGangThatIsDoneCountUntilTheyEnd guards against starts beside runs that a worker executes though they are recorded as ended.
func TestMembersOfAGangThatIsDoneCountUntilTheyEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.limitAccounts(map[string]int64{"a": 3000})
		f.addWorker("w1", 2000)
		f.addWorker("w2", 2000)
		for _, w := range f.workers.workers {
			w.stopTime = time.Second
		}
		f.workers.durationOf = func(task workload.TaskID, _ int) time.Duration {
			return time.Second + time.Duration(task.Index*10)*time.Second
		}
		f.lead()
		defer func() { f.depose() }()
		time.Sleep(time.Second)
		gang := step(2)
		gang.Gang, gang.Need.MilliCPU = true, 1500
		f.submitAs("a", jobA, gang)
		time.Sleep(500 * time.Millisecond)
		f.submitAs("a", jobB, step(1), step(1), step(1))
		f.await(jobA, workstate.Succeeded, 3*time.Second)
		f.await(jobB, workstate.Succeeded, 5*time.Second)
	})
}

// TestLargerTaskStartsAlone guards against a task above the quota that never starts because smaller ones of the account take the room.
func TestLargerTaskStartsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := quotaFixture(t, 500*time.Millisecond)
		defer func() { f.depose() }()
		f.submitAs("a", jobB, step(6))
		large := step(2)
		large.Need.MilliCPU = 4000
		f.submitAs("a", jobA, large)
		f.await(jobA, workstate.Succeeded, 6*time.Second)
		f.await(jobB, workstate.Succeeded, 3*time.Second)
	})
}

// TestGangStartsWithinTheQuotaOrAlone guards against part of a gang, which makes no progress, and against a gang that never starts.
func TestGangStartsWithinTheQuotaOrAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := quotaFixture(t, 500*time.Millisecond)
		defer func() { f.depose() }()
		f.submitAs("a", jobB, step(2))
		for i, size := range []int{3, 6} {
			gang := step(size)
			gang.Gang = true
			f.submitAs("a", fmt.Sprintf("%016x", i), gang)
		}
		f.await("0000000000000000", workstate.Succeeded, 6*time.Second)
		f.await("0000000000000001", workstate.Succeeded, 3*time.Second)
	})
}

// TestLoweredQuotaStopsNothing guards against a change of the configuration that stops tasks, and against starts before there is room.
func TestLoweredQuotaStopsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := quotaFixture(t, 2*time.Second)
		defer func() { f.depose() }()
		f.submitAs("a", jobA, step(3))
		time.Sleep(500 * time.Millisecond)
		f.workers.mu.Lock()
		f.workers.quotas.limits["a"] = workload.Resources{MilliCPU: 1000}
		f.workers.mu.Unlock()
		f.commitAccounts()
		f.submitAs("a", jobB, step(2))
		f.await(jobA, workstate.Succeeded, 2*time.Second)
		if f.workers.starts > 3 {
			t.Errorf("%d starts of 3 tasks before there is room", f.workers.starts)
		}
		f.most("a")
		f.await(jobB, workstate.Succeeded, 5*time.Second)
		if most := f.most("a"); most != 1000 || f.workers.starts != 5 {
			t.Errorf("the account executed up to %d of 1000, with %d starts of 5 tasks", most, f.workers.starts)
		}
	})
}

// lateReplica answers the first proposal of progress after a delay, and applies it a little
// later.
type lateReplica struct {
	*fakeReplica
	delay   time.Duration
	pending chan struct{}
}

// Propose implements replica.Replica.
func (r *lateReplica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	var decoded workstate.Command
	if err := cbor.Unmarshal(command, &decoded); err != nil {
		return nil, err
	}
	if decoded.Progress == nil || r.pending != nil {
		return r.fakeReplica.Propose(ctx, command)
	}
	r.pending = make(chan struct{})
	time.AfterFunc(r.delay+300*time.Millisecond, func() {
		_, _ = r.fakeReplica.Propose(context.Background(), command)
		close(r.pending)
	})
	time.Sleep(r.delay)
	return nil, replica.ErrUnknownResult
}

// ReadBarrier implements replica.Replica.
func (r *lateReplica) ReadBarrier(context.Context) error {
	<-r.pending
	return nil
}

// TestPlansDoNotOverlapAfterAnUnknownCommit guards against two plans that each use the whole quota: the starts of the first are recorded after the second was made.
func TestPlansDoNotOverlapAfterAnUnknownCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.addWorker("w1", 8000)
		f.limitAccounts(map[string]int64{"a": 3000})
		f.leadWith(&lateReplica{fakeReplica: f.replica, delay: 1300 * time.Millisecond})
		defer func() { f.depose() }()
		time.Sleep(time.Second)
		f.submitAs("a", jobA, step(3))
		// The first job is late by then, so that the second one goes before it.
		time.Sleep(1200 * time.Millisecond)
		f.submitAs("a", jobB, step(3))
		f.await(jobB, workstate.Succeeded, 8*time.Second)
		f.await(jobA, workstate.Succeeded, 8*time.Second)
	})
}

// TestTasksBeyondAQuotaNeedNoVMs guards against VMs that are moved to a pool for tasks that may not start.
func TestTasksBeyondAQuotaNeedNoVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := quotaFixture(t, 10*time.Second)
		defer func() { f.depose() }()
		f.submitAs("a", jobA, step(100))
		time.Sleep(time.Second)
		f.loop.post(func(l *loop) {
			f.machine.Read(func(v *workstate.View) {
				u := l.reconcile(v, fleetDetails, time.Now())
				groups := l.waitingGroups(v, time.Now())
				if pool := l.desiredPools(v, u, groups, time.Now())[0]; pool.ForLoad > 5 {
					// The forecast adds some to the one that the quota fills.
					t.Errorf("%d VMs of four cores for a quota of three", pool.ForLoad)
				}
			})
		})
		time.Sleep(time.Second)
	})
}

// drawAccounts gives a third of a schedule's jobs to each of two accounts with limits. The
// jobs have twice the time to end, since they get as little as a sixth of the workers.
func (s *schedule) drawAccounts() {
	s.calm = 2 * calmTime
	s.limitAccounts(map[string]int64{"a1": 2000 + int64(s.calls.draw("limit", 1)%3)*500, "a2": 2000 + int64(s.calls.draw("limit", 2)%3)*500})
	s.accountOf = func(job string) string {
		return [...]string{"", "a1", "a2"}[s.calls.draw("account", job)%3]
	}
}
