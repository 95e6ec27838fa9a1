package scheduler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/scheduler/rounds"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// BenchmarkRoundAfterWorkerChange measures a round that follows a change of one
// registered worker, with four runs on each worker.
func BenchmarkRoundAfterWorkerChange(b *testing.B) {
	for _, workers := range []int{350, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			l := loadedLeader(b, workers, 4, 0)
			replica := &fakeReplica{machine: l.Machine}
			reg := l.workers["w7"].reg
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				reg.Capacity.MilliCPU ^= 1
				if _, err := propose(context.Background(), replica, &workstate.Command{Register: &reg}, time.Now()); err != nil {
					b.Fatal(err)
				}
				l.committing = false
				b.StartTimer()
				l.round(time.Now())
			}
		})
	}
}

// BenchmarkIdleRound measures a round of a leader without runs and jobs that plans
// maintenance.
func BenchmarkIdleRound(b *testing.B) {
	for _, workers := range []int{48, 350, 1000, 2000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			l := loadedLeader(b, workers, 0, 0)
			l.listBusyVMs(b)
			l.planIdleFleet(b, func() {})
		})
	}
}

// BenchmarkIdleRoundWithMoves measures a round of a leader without runs and jobs that
// plans moves.
func BenchmarkIdleRoundWithMoves(b *testing.B) {
	for _, workers := range []int{48, 350, 1000, 2000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			l := loadedLeader(b, workers, 0, 0)
			l.listVMsOfWorkers()
			l.Limits.ActionRate = 4
			l.planIdleFleet(b, func() { l.fleet.orders = orderBudget{tokens: 1, filledAt: time.Now()} })
		})
	}
}

// BenchmarkPassWithoutRound measures what the loop does after events that call for no
// round, in a leader whose workers are all being watched.
func BenchmarkPassWithoutRound(b *testing.B) {
	for _, workers := range []int{48, 350, 1000, 2000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			l := loadedLeader(b, workers, 0, 0)
			l.listVMsOfWorkers()
			for _, w := range l.workers {
				w.watching = true
			}
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				l.dirty, l.pacer, l.fleet.listedAt = false, rounds.Pacer{}, now
				l.advance(now)
			}
		})
	}
}

// planIdleFleet measures rounds that plan the fleet, before each of which it calls a
// function.
func (l *loop) planIdleFleet(b *testing.B, prepare func()) {
	b.ReportAllocs()
	for b.Loop() {
		prepare()
		l.planFleetOnce()
	}
}

// BenchmarkRoundWithQueuedEnds measures a round while the ends of a tenth of the runs
// wait for a commit, with four runs on each worker.
func BenchmarkRoundWithQueuedEnds(b *testing.B) {
	for _, workers := range []int{350, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			l := loadedLeader(b, workers, 4, 0)
			l.Machine.Read(func(v *workstate.View) { l.reconcile(v, capacityInUse, time.Now()) })
			for id, r := range l.runs.All() {
				if len(l.ends) < l.runs.Len()/10 {
					l.queueEnd(id, r.number, workstate.EndDone, "")
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				l.committing = false
				l.round(time.Now())
			}
		})
	}
}

// runsPerBatch is the number of runs that start and end together in
// BenchmarkRunStartToEnd.
const runsPerBatch = 100

// BenchmarkRunStartToEnd measures what the leader does for a run, from the commit of
// its start to that of its end, beside two other runs on each worker. The calls to
// workers are answered at once.
func BenchmarkRunStartToEnd(b *testing.B) {
	for _, workers := range []int{350, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			l := loadedLeader(b, workers, 2, 0)
			calls := &benchWorkers{runs: map[string]*benchRuns{}}
			l.Workers, l.Replica = calls, &fakeReplica{machine: l.Machine, term: l.term}
			for id, w := range l.workers {
				w.lease.Record(1, time.Now())
				calls.runs[id] = &benchRuns{}
				for _, row := range w.report.running {
					calls.runs[id].lasting = append(calls.runs[id].lasting, row)
				}
			}
			b.ReportAllocs()
			batches := 0
			for b.Loop() {
				l.runBatch(b, calls, fmt.Sprintf("b%015x", batches))
				batches++
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(batches*runsPerBatch), "ns/run")
		})
	}
}

// runBatch starts and ends the tasks of a new job.
func (l *loop) runBatch(b *testing.B, calls *benchWorkers, id string) {
	st := step(runsPerBatch)
	st.Need, st.Estimate = workload.Resources{MilliCPU: 100}, time.Second
	submit := &workstate.Command{Submit: &workstate.Submit{ID: id, Host: "host", Path: "/q/" + id, Spec: workload.Spec{Payload: "p", Steps: []workload.Step{st}}}}
	if _, err := propose(l.ctx, l.Replica, submit, time.Now()); err != nil {
		b.Fatal(err)
	}
	l.round(time.Now())
	l.handleUntil(b, func() bool { return calls.started() == runsPerBatch })
	now := time.Now()
	watches := 0
	for worker := range calls.takeStarted() {
		l.watch(l.workers[worker], now)
		watches++
	}
	l.handle(watches)
	l.round(time.Now())
	l.handle(1)
	l.Machine.Read(func(v *workstate.View) {
		if v.Job(id).Outcome != workstate.Succeeded {
			b.Fatal("the runs have not ended")
		}
	})
}

// handle handles a number of events.
func (l *loop) handle(events int) {
	for range events {
		(<-l.events)(l)
	}
}

// handleUntil handles events until the calls of a batch of starts are made and their
// answers handled.
func (l *loop) handleUntil(b *testing.B, started func() bool) {
	l.handle(1 + runsPerBatch)
	if !started() {
		b.Fatal("not all runs of a batch were started")
	}
}

// benchRuns holds the runs on one worker of a benchmark: those that end with the next
// watch, and those that do not end.
type benchRuns struct {
	ending  []execution.EndedRun
	lasting []execution.RunningTask
	lastEnd int64
}

// benchWorkers answers each call at once.
type benchWorkers struct {
	mu     sync.Mutex
	runs   map[string]*benchRuns
	starts map[string]int
	count  int
}

func (w *benchWorkers) Start(_ context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.starts == nil {
		w.starts = map[string]int{}
	}
	w.starts[to.ID]++
	w.count++
	r := w.runs[to.ID]
	r.lastEnd++
	r.ending = append(r.ending, execution.EndedRun{Number: r.lastEnd, Task: o.Task, Run: o.Run, Reason: execution.ReasonDone})
	return execution.Answer{ClockMS: 1}, nil
}

func (w *benchWorkers) Watch(_ context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[to.ID]
	report := execution.Report{ClockMS: 1, Ended: r.ending, EndsOnly: q.EndsOnly && len(r.ending) > 0}
	if !report.EndsOnly {
		report.Running = r.lasting
	}
	r.ending = nil
	return report, nil
}

// started returns the number of runs that were started since takeStarted.
func (w *benchWorkers) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

// takeStarted returns the workers on which runs were started since the last call.
func (w *benchWorkers) takeStarted() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	starts := w.starts
	w.starts, w.count = nil, 0
	return starts
}

func (w *benchWorkers) Stop(context.Context, execution.WorkerAddress, workload.TaskID, int, uint64) (execution.Answer, error) {
	return execution.Answer{ClockMS: 1}, nil
}

func (w *benchWorkers) Throttle(context.Context, execution.WorkerAddress, workload.TaskID, int, int, uint64) (execution.Answer, error) {
	return execution.Answer{ClockMS: 1}, nil
}

func (w *benchWorkers) Forget(string) {}
