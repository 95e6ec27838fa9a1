package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/rebalance"
	"arbutusward.example/arbutusward/internal/version/relocation"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// vmsIn returns the number of VMs of a pool as the platform lists them.
func (f *fixture) vmsIn(pool string) int {
	f.vms.mu.Lock()
	defer f.vms.mu.Unlock()
	count := 0
	for _, vm := range f.vms.vms {
		if vm.Pool == pool {
			count++
		}
	}
	return count
}

// submitTo submits a job of eight tasks of a second to a queue.
func (f *fixture) submitTo(queue, id string) {
	f.t.Helper()
	work := step(8)
	work.Need.MemoryMB, work.Estimate = 1, time.Second
	spec := workload.Spec{Payload: "p", Steps: []workload.Step{work}}
	f.workers.mu.Lock()
	f.workers.submitted[id] = spec
	f.workers.mu.Unlock()
	if r := f.commit(&workstate.Command{Submit: &workstate.Submit{ID: id, Host: "host", Path: "/" + queue + "/" + id, Spec: spec}}); r.Code != workstate.OK {
		f.t.Fatalf("submit: %+v", r)
	}
	if f.loop != nil {
		f.loop.post(func(l *loop) { l.handleJobArrival(id, time.Now()) })
	}
}

// newTurnFixture returns a fixture with 12 VMs in the pool of the queue "q", and two in that of
// "q2".
func newTurnFixture(t *testing.T) *fixture {
	f := newFixture(t, time.Second)
	f.limits.FencingEnforced = true
	config := testCatalog()
	config.Version++
	other := config.Queues[0]
	other.Name, other.PathPrefix, other.Service = "q2", "/q2/", "other"
	config.Queues = append(config.Queues, other)
	config.Services = append(config.Services, catalog.Service{Name: "other", EnforcesCapacity: true})
	f.commit(&workstate.Command{Catalog: config})
	f.replaceWorkers(1500 * time.Millisecond)
	for i := range 14 {
		id, pool := fmt.Sprint("w", i), "svc"
		if i >= 12 {
			pool = "other"
		}
		f.vms.vms["vm-"+id] = &execution.VM{ID: "vm-" + id, Pool: pool, State: execution.VMUp, Worker: id}
		f.register(f.workers.add(id, 8000), "vm-"+id, pool)
	}
	return f
}

// submitBacklog submits jobs to the queue "q" that are over the rate of their account, but for
// one in owedEvery.
func (f *fixture) submitBacklog(jobs, owedEvery int) {
	f.t.Helper()
	for i := range jobs {
		id := fmt.Sprintf("a%015x", i)
		f.submitTo("q", id)
		f.machine.Read(func(v *workstate.View) { v.Job(id).OverRate = owedEvery == 0 || i%owedEvery != 0 })
	}
}

// TestTurnOfAPoolTakesTheFleetFromABacklog plays a load: a pool with a backlog of 15 s, four
// fifths of it beyond the accounts' rates and the rest late, holds 12 of 14 VMs; then the
// turn of another pool begins with jobs that can be in time, 12 a second. It guards against a
// backlog that keeps the fleet until it is worked off.
func TestTurnOfAPoolTakesTheFleetFromABacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTurnFixture(t)
		f.submitBacklog(180, 5)
		f.lead()
		defer f.depose()
		time.Sleep(4 * time.Second)
		if held := f.vmsIn("svc"); held != 12 {
			t.Fatalf("the pool with the backlog holds %d VMs, expected 12", held)
		}
		for i := range 48 {
			f.submitTo("q2", fmt.Sprintf("b%015x", i))
			time.Sleep(time.Second / 12)
		}
		if got := f.vmsIn("other"); got <= 7 {
			t.Errorf("%d of 14 VMs are in the pool whose turn it is after 4 s", got)
		}
	})
}

// TestUnlistedFleetYieldsNothing guards against a new leader that takes a fleet of which it
// has no list for one without VMs, and lowers what pools keep open.
func TestUnlistedFleetYieldsNothing(t *testing.T) {
	l := loadedLeader(t, 20, 4, 20)
	l.listVMsOfWorkers()
	l.fleet.listed = false
	clear(l.fleet.entries)
	l.planFleetOnce()
	for _, p := range l.admission.pools {
		if p.Yields {
			t.Errorf("%s yields down to %d VMs", p.Name, p.Desired)
		}
	}
}

// TestMaintenanceClosesNoMoreOfAYieldingPool guards against maintenance that closes VMs down
// to what a pool keeps from other pools: the fewer VMs are left, the less that is.
func TestMaintenanceClosesNoMoreOfAYieldingPool(t *testing.T) {
	for _, pressure := range []relocation.Pressure{relocation.Relaxed, relocation.Urgent} {
		closed := map[bool]int{}
		for _, yields := range []bool{false, true} {
			l := loadedLeader(t, 20, 4, 20)
			l.listVMsOfWorkers()
			l.planFleetOnce()
			l.Machine.Read(func(v *workstate.View) {
				u := l.reconcile(v, fleetDetails, time.Now())
				l.recordPools(u)
				if yields {
					u.yielding = map[string]int{"svc": 5}
				}
				plan := l.relocationPlan(v, u, time.Now())
				for id := range l.workers {
					if plan.Close(id, pressure) == nil {
						closed[yields]++
					}
				}
			})
		}
		if closed[true] != closed[false] {
			t.Errorf("pressure %d: %d VMs of a yielding pool are closed, %d of another", pressure, closed[true], closed[false])
		}
	}
}

// TestDrainOfAYieldingPoolStopsNoTaskOverAndOver guards against late tasks that are stopped
// on one VM after the other, and against stopping those that can be in time.
func TestDrainOfAYieldingPoolStopsNoTaskOverAndOver(t *testing.T) {
	now := time.Now()
	late, prompt := workload.TaskID{Job: "late"}, workload.TaskID{Job: "prompt"}
	tests := map[string]struct {
		id      workload.TaskID
		service string
		number  int
		age     time.Duration
		want    bool
	}{
		"late, first run":            {late, "yields", 1, 0, true},
		"late, stopped before":       {late, "yields", 2, minDrainAge / 2, false},
		"late, stopped long before":  {late, "yields", 2, minDrainAge, true},
		"in time":                    {prompt, "yields", 1, minDrainAge, false},
		"young in a pool with spare": {late, "spares", 1, minDrainAge / 2, false},
		"old in a pool with spare":   {prompt, "spares", 1, minDrainAge, true},
	}
	u := &usage{yielding: map[string]int{"yields": 2}, notInTime: map[string]bool{"late": true}}
	for name, test := range tests {
		w := &worker{reg: workstate.Worker{Service: test.service}}
		r := &run{number: test.number, since: now.Add(-test.age)}
		if got := u.mayStopForDrain(test.id, r, w, now); got != test.want {
			t.Errorf("%s: stopped %v", name, got)
		}
	}
}

// TestVMWithResumableTasksInTimeIsNotIdleAtOnce guards against a yielding pool that drains
// VMs first whose tasks it lets end, as if they could leave at once.
func TestVMWithResumableTasksInTimeIsNotIdleAtOnce(t *testing.T) {
	l := loadedLeader(t, 2, 0, 0)
	l.listVMsOfWorkers()
	work := step(1)
	work.Checkpointing, work.Estimate = true, 5*time.Second
	commitTo(t, l.Machine, &workstate.Command{Submit: &workstate.Submit{ID: jobA, Host: "host", Path: "/q/" + jobA, Spec: workload.Spec{Payload: "p", Steps: []workload.Step{work}}}})
	commitTo(t, l.Machine, &workstate.Command{Progress: &workstate.Progress{Starts: []workstate.Start{{Task: workload.TaskID{Job: jobA}, Run: 1, Worker: "w0", Incarnation: 1}}}})
	for _, late := range []bool{false, true} {
		l.Machine.Read(func(v *workstate.View) {
			u := l.reconcile(v, fleetDetails, time.Now())
			u.notInTime[jobA] = late
			l.yield(u, []rebalance.Pool{{Name: "svc", Desired: 1, Yields: true}})
			if atOnce := u.load(l.workers["w0"]).idleIn == 0; atOnce != late {
				t.Errorf("late %v: idle at once %v", late, atOnce)
			}
		})
	}
}

// TestYieldKeepsDisruptionBudgets plays a load: 6 of the 12 VMs of a pool execute two of 12
// long-running tasks each, of which one may be away, beside a backlog beyond the accounts'
// rates, when the turn of another pool begins. It guards against tasks that are stopped with the
// VMs which the pool yields.
func TestYieldKeepsDisruptionBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTurnFixture(t)
		lasting := workload.Step{Count: 12, Need: workload.Resources{MilliCPU: 3000}, LongRunning: true, DisruptionBudget: 1}
		f.workers.durationOf = func(id workload.TaskID, _ int) time.Duration {
			if id.Job == jobA {
				return time.Hour
			}
			return time.Second
		}
		f.leadWithJob(lasting)
		f.depose()
		f.submitBacklog(180, 0)
		f.lead()
		defer f.depose()
		time.Sleep(2 * time.Second)
		least, most := lasting.Count, 0
		for i := range 96 {
			f.submitTo("q2", fmt.Sprintf("b%015x", i))
			time.Sleep(time.Second / 12)
			least, most = min(least, f.executingOf(jobA)), max(most, f.vmsIn("other"))
		}
		if most <= 7 {
			t.Errorf("%d of 14 VMs came to the pool whose turn it was", most)
		}
		if least < lasting.Count-1 {
			t.Errorf("%d of %d long-running tasks are at work, the budget allows one to be away", least, lasting.Count)
		}
	})
}

// executingOf returns the number of tasks of a job that workers execute.
func (f *fixture) executingOf(job string) int {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	count := 0
	for _, w := range f.workers.workers {
		for id := range w.running {
			if id.Job == job {
				count++
			}
		}
	}
	return count
}

// TestYieldDoesNotMakeTheFleetShortForMaintenance guards against maintenance that waits
// since a yielding pool keeps a margin, though the load of all pools has its VMs.
func TestYieldDoesNotMakeTheFleetShortForMaintenance(t *testing.T) {
	l := loadedLeader(t, 20, 0, 0)
	l.listVMsOfWorkers()
	l.Machine.Read(func(v *workstate.View) {
		u := l.reconcile(v, fleetDetails, time.Now())
		l.recordPools(u)
		pools := []rebalance.Pool{{Name: "svc", Desired: 10, ForLoad: 15, Yields: true}, {Name: "other", Desired: 5, ForLoad: 5}}
		if needs := l.needsOfLoad(u, pools, time.Now()); needs.short {
			t.Error("20 VMs are short for loads of 15 and 5")
		}
	})
}
