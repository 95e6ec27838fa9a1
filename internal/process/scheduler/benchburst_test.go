package scheduler

import (
	"fmt"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// BenchmarkRoundInABurst measures a round that plans the fleet and starts while a large
// fleet executes four runs and half a long-running task on each worker, and more
// waits than fits.
func BenchmarkRoundInABurst(b *testing.B) {
	l := burstLeader(b)
	b.ReportAllocs()
	for b.Loop() {
		l.roundInABurst()
	}
}

// burstLeader returns a leader of a large fleet without free capacity.
func burstLeader(b testing.TB) *loop {
	l := loadedLeader(b, 1100, 4, 220)
	l.listVMsOfWorkers()
	l.Limits.ActionRate = 4
	l.fillWithLongRunning(b, 550, 1000)
	return l
}

// roundInABurst runs a round that plans the fleet and may order a VM.
func (l *loop) roundInABurst() {
	l.fleet.orders = orderBudget{tokens: 1, filledAt: time.Now()}
	l.planFleetOnce()
}

// planFleetOnce runs a round that plans the fleet, whose list of VMs is new.
func (l *loop) planFleetOnce() {
	l.committing = false
	l.fleet.listedAt, l.fleetPlannedAt = time.Now(), time.Time{}
	l.round(time.Now())
}

// fillWithLongRunning starts a long-running task, of 24 a job, on each of a number of
// workers.
func (l *loop) fillWithLongRunning(b testing.TB, workers int, milliCPU int64) {
	const tasksPerJob = 24
	var progress workstate.Progress
	for i := range workers {
		task := workload.TaskID{Job: fmt.Sprintf("f%015x", i/tasksPerJob), Index: i % tasksPerJob}
		if task.Index == 0 {
			st := step(tasksPerJob)
			st.Need, st.LongRunning = workload.Resources{MilliCPU: milliCPU}, true
			commitTo(b, l.Machine, &workstate.Command{Submit: &workstate.Submit{ID: task.Job, Host: "host", Path: "/q/" + task.Job, Spec: workload.Spec{Payload: "p", Steps: []workload.Step{st}}}})
		}
		progress.Starts = append(progress.Starts, workstate.Start{Task: task, Run: 1, Worker: fmt.Sprint("w", i), Incarnation: 1})
	}
	commitTo(b, l.Machine, &workstate.Command{Progress: &progress})
}

// BenchmarkRoundWithAccounts measures a round of a large fleet with a long backlog, with
// and without accounts that have limits.
func BenchmarkRoundWithAccounts(b *testing.B) {
	for _, count := range []int{0, 20, 190} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			l := loadedLeader(b, 1100, 4, 4000)
			l.giveAccounts(b, count)
			b.ReportAllocs()
			for b.Loop() {
				l.committing = false
				l.round(time.Now())
			}
		})
	}
}

// giveAccounts gives each job one of a number of accounts in turn.
func (l *loop) giveAccounts(b testing.TB, count int) {
	if count == 0 {
		return
	}
	c := testCatalog()
	c.Version++
	for i := range count {
		c.Accounts = append(c.Accounts, catalog.Account{Name: fmt.Sprint("account", i), Weight: float64(1 + i%9), Limit: workload.Resources{MilliCPU: 9_000_000 / int64(count)}})
	}
	commitTo(b, l.Machine, &workstate.Command{Catalog: c})
	l.Machine.Read(func(v *workstate.View) {
		next := 0
		for _, job := range v.Active() {
			job.Account = c.Accounts[next%count].Name
			next++
		}
	})
}
