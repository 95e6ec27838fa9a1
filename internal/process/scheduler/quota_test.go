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
	// former holds the limits that were changed.
	former []formerLimits
	// recorded holds when the starts of runs were recorded, if limits change during a test.
	recorded map[runKey]time.Time
	// accounts holds the account of each job.
	accounts map[string]string
	// most is the most that each account had executing, in thousandths of a core.
	most map[string]int64
}

// formerLimits are the limits in force until a time.
type formerLimits struct {
	limits map[string]workload.Resources
	until  time.Time
}

// planningTime bounds the time from a plan until its starts are recorded.
const planningTime = 200 * time.Millisecond

// limitOf returns the highest limit of an account since the start of a run was planned.
func (q *quotaCheck) limitOf(account string, run runKey) int64 {
	highest := q.limits[account].MilliCPU
	for _, l := range q.former {
		if recordedAt, known := q.recorded[run]; known && l.until.After(recordedAt.Add(-planningTime)) {
			highest = max(highest, l.limits[account].MilliCPU)
		}
	}
	return highest
}

// changeLimits replaces the limits of the accounts, in thousandths of a core.
func (f *fixture) changeLimits(limits map[string]int64) {
	next := map[string]workload.Resources{}
	for name, milliCPU := range limits {
		next[name] = workload.Resources{MilliCPU: milliCPU}
	}
	f.commitLimits(next)
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	q := f.workers.quotas
	q.former = append(q.former, formerLimits{q.limits, time.Now()})
	q.limits = next
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
func (f *fixture) commitAccounts() { f.commitLimits(f.workers.quotas.limits) }

func (f *fixture) commitLimits(limits map[string]workload.Resources) {
	var c catalog.Catalog
	f.machine.Read(func(v *workstate.View) { c = *v.Catalog() })
	c.Version++
	c.Accounts = nil
	for name, limit := range limits {
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
func (q *quotaCheck) check(f *fakeWorkers, run runKey) {
	task := run.task
	account := q.accounts[task.Job]
	if _, limited := q.limits[account]; account == "" || !limited {
		return
	}
	limit := q.limitOf(account, run)
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
	if sum.MilliCPU > limit && !alone {
		f.t.Errorf("QUOTA: the start of %s brings %s to %d of %d", task, account, sum.MilliCPU, limit)
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

// TestLargeTaskStartsWhileUrgentSmallOnesUseLittle plays an account of four cores of eight that sends jobs of 0.6 cores for 1 s, 1.4 a second, while it has a task of 3.5 cores. It guards against a large task that waits for as long as small ones in time go before it, though half of the quota and of the pool is free, and against small ones that wait for 3 s.
func TestLargeTaskStartsWhileUrgentSmallOnesUseLittle(t *testing.T) {
	for _, gang := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, time.Second)
			f.addWorker("w1", 4000)
			f.addWorker("w2", 4000)
			f.limitAccounts(map[string]int64{"a": 4000})
			f.lead()
			defer func() { f.depose() }()
			time.Sleep(time.Second)
			submitSmall := func(i int) string {
				small := step(1)
				small.Need.MilliCPU, small.Estimate = 600, time.Second
				id := fmt.Sprintf("%016x", i)
				f.submitAs("a", id, small)
				time.Sleep(700 * time.Millisecond)
				return id
			}
			var smalls []string
			for i := range 3 {
				smalls = append(smalls, submitSmall(i))
			}
			large := step(1)
			large.Need.MilliCPU, large.Estimate = 3500, time.Second
			if gang {
				large.Count, large.Gang, large.Need.MilliCPU = 2, true, 1750
			}
			f.submitAs("a", jobA, large)
			for i := range 20 {
				smalls = append(smalls, submitSmall(100+i))
				if i == 5 && f.outcome(jobA) != workstate.Succeeded {
					t.Error("the large task has not ended after 4.2 s")
				}
				if i >= 5 && f.outcome(smalls[len(smalls)-6]) != workstate.Succeeded {
					t.Errorf("small task %d has not ended after 4.2 s", i-5)
				}
			}
		})
	}
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

// limitInterval is the interval of the events that change the limits of accounts.
const limitInterval = 8

// drawAccounts gives a third of a schedule's jobs to each of two accounts with limits, which
// change. Some tasks are larger, also than the limit. The jobs have twice the time to end,
// since they get as little as a sixth of the workers.
func (s *schedule) drawAccounts() {
	s.calm = 2 * calmTime
	limits := map[string]int64{"a1": 2000 + int64(s.calls.draw("limit", 1)%3)*500, "a2": 2000 + int64(s.calls.draw("limit", 2)%3)*500}
	s.limitAccounts(limits)
	s.workers.quotas.recorded = map[runKey]time.Time{}
	s.accountOf = func(job string) string {
		return [...]string{"", "a1", "a2"}[s.calls.draw("account", job)%3]
	}
	s.needOf = func(job string, step int) int64 {
		return [...]int64{1000, 1000, 1000, 1000, 2000, 3000}[s.calls.draw("need", job, step)%6]
	}
	events := 0
	s.furtherEvent = func() {
		events++
		if s.calls.draw("change limits", events)%limitInterval == 0 {
			s.changeLimits(map[string]int64{"a1": int64(1+s.calls.draw("limit", 1, events)%4) * 1000, "a2": int64(1+s.calls.draw("limit", 2, events)%4) * 1000})
		}
	}
	s.afterFaults = func() { s.changeLimits(limits) }
}

// recordStarts records when a command has recorded the starts of runs.
func (s *schedule) recordStarts(command []byte) {
	if s.workers.quotas == nil {
		return
	}
	var c workstate.Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		s.t.Error(err)
		return
	}
	progress := c.Progress
	if c.Packed != nil {
		progress = c.Packed.Unpack()
	}
	if progress == nil {
		return
	}
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	for _, start := range progress.Starts {
		s.workers.quotas.recorded[runKey{start.Task, start.Run}] = time.Now()
	}
}
