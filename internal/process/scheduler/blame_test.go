package scheduler

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestRunThatWasNeverOrderedIsNotBlamed guards against a job that is given up for crashes of workers that have not started its task.
func TestRunThatWasNeverOrderedIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		former := f.addWorker("w1", 4000)
		f.submit(jobA, step(1))
		start := workstate.Start{Task: workload.TaskID{Job: jobA}, Run: 1, Worker: "w1", Incarnation: former.incarnation, Term: 1}
		f.commit(&workstate.Command{Progress: &workstate.Progress{Starts: []workstate.Start{start}}})
		l := newLoop(t.Context(), Options{Replica: f.replica, Machine: f.machine, Workers: f.workers, Limits: f.limits, Log: slog.New(slog.DiscardHandler), Now: time.Now}, 1)
		f.machine.Read(l.syncWorkers)
		time.Sleep(time.Second)
		successor := f.workers.add("w2", 4000)
		f.register(successor, "vm-w1", "svc")
		f.machine.Read(func(v *workstate.View) {
			l.startRun(v, &start, time.Now())
			l.findCrashes(v, time.Now())
		})
		if blame := l.runs.Get(start.Task).blame; blame != nil {
			t.Errorf("blamed for %+v", blame)
		}
	})
}

// TestFailedRunEndsTheSuspicion guards against a job that is given up for crashes before and after a run that its worker has reported as failed.
func TestFailedRunEndsTheSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 100*time.Millisecond)
		f.addWorker("w1", 4000)
		f.submit(jobA, step(1))
		task := workload.TaskID{Job: jobA}
		f.recordCrash(task, "w1")
		f.workers.fails = func(_ workload.TaskID, run int) bool { return run == 2 }
		f.workers.durationOf = func(_ workload.TaskID, run int) time.Duration {
			if run == 2 {
				return 100 * time.Millisecond
			}
			return 2 * time.Second
		}
		f.lead()
		defer time.Sleep(time.Second)
		defer f.depose()
		time.Sleep(time.Second)
		f.machine.Read(func(v *workstate.View) {
			if progress := v.Job(jobA).Task(task); progress.Failures != 1 || progress.Crashes != 0 {
				t.Errorf("%d failures, %d crashes", progress.Failures, progress.Crashes)
			}
		})
	})
}

// TestOldRunOfAFormerLeaderIsNotTakenForAStartingOne guards against a job that is given up for a crash long after the start of a run that its leader has inherited, and two without guilt.
func TestOldRunOfAFormerLeaderIsNotTakenForAStartingOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, 4*time.Second, 4)
		f.lead()
		defer func() { f.finish() }()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		time.Sleep(2 * time.Second)
		f.depose()
		f.crashWorker(f.workerOf(jobA))
		f.lead()
		for range 2 {
			f.crashWorker(f.awaitRun(jobA))
		}
		f.await(jobA, workstate.Succeeded, 20*time.Second)
	})
}

// hear lets a leader hear of a worker.
func hear(leader *loop, heartbeat workcall.HeardHeartbeat) {
	leader.post(func(l *loop) { l.recordHeartbeats([]workcall.HeardHeartbeat{heartbeat}, time.Now()) })
}

// TestHeartbeatAfterItsStartClearsARun guards against a job that is given up for crashes long after its starts, of workers that answer no watch but send heartbeats.
func TestHeartbeatAfterItsStartClearsARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, 2*time.Second, 4)
		f.lead()
		defer func() { f.finish() }()
		calls := &strayWatches{fakeWorkers: f.workers}
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		for range 4 {
			w := f.awaitRun(jobA)
			calls.silent.Store(true)
			time.Sleep(settleTime + 100*time.Millisecond)
			hear(f.loop, w.heard())
			time.Sleep(100 * time.Millisecond)
			f.crashWorker(w)
			calls.silent.Store(false)
		}
		f.await(jobA, workstate.Succeeded, 20*time.Second)
	})
}

// TestLateHeartbeatClearsNoRun guards against a deadly task that is started on and on because heartbeats sent before its starts arrive after the crashes.
func TestLateHeartbeatClearsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, 800*time.Millisecond, 4)
		deadly := f.makeDeadly(jobA)
		f.workers.onCrash = func(w *fakeWorker) {
			leader, heartbeat := f.loop, w.heard()
			go func() {
				time.Sleep(crashOutage / 2)
				hear(leader, heartbeat)
			}()
			go f.restartLater(w)
		}
		f.lead()
		defer func() { f.finish() }()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		f.await(jobA, workstate.Failed, 20*time.Second)
		f.checkDeadlyStarts(deadly)
	})
}

// TestHeartbeatOfAnotherIncarnationClearsNoRun guards against a run that is cleared by a heartbeat whose clock is that of a former incarnation with the same id.
func TestHeartbeatOfAnotherIncarnationClearsNoRun(t *testing.T) {
	l := newLoop(t.Context(), Options{}, 1)
	w := &worker{reg: workstate.Worker{ID: "w1", Incarnation: 7}}
	w.lease.Record(1000, time.Now())
	l.workers["w1"] = w
	task := &workstate.Task{Worker: "w1", Incarnation: 7}
	cases := []struct {
		name        string
		acceptedMS  int64
		incarnation int64
		heartbeatMS int64
		want        bool
	}{
		{"of this incarnation", 1100, 7, 1400, true},
		{"before the start is survived", 1100, 7, 1399, false},
		{"of the former incarnation", 1100, 6, 9000, false},
		{"after an order that the next incarnation accepted", 20, 7, 1400, false},
	}
	for _, c := range cases {
		w.heartbeatClockMS = 0
		r := &run{}
		r.recordAcceptance(w, c.acceptedMS)
		l.recordHeartbeats([]workcall.HeardHeartbeat{{Worker: "w1", Incarnation: c.incarnation, ClockMS: c.heartbeatMS}}, time.Now())
		if r.settleByClock(w, task); r.settled != c.want {
			t.Errorf("heartbeat %s: settled %v", c.name, r.settled)
		}
	}
}

// TestSecondAcceptanceByTheNextIncarnationClearsNoRun guards against a deadly task whose crash is not counted: the clock of its start is below a report of the former incarnation.
func TestSecondAcceptanceByTheNextIncarnationClearsNoRun(t *testing.T) {
	w := &worker{reg: workstate.Worker{ID: "w1", Incarnation: 7}, reportClockMS: 9000}
	w.lease.Record(9000, time.Now())
	first, second := &run{}, &run{}
	first.recordAcceptance(w, 1000)
	w.lease.Record(1000, time.Now())
	second.recordAcceptance(w, 1010)
	for _, r := range []*run{first, second} {
		if r.settleByClock(w, &workstate.Task{Worker: "w1", Incarnation: 7}); r.settled || r.outlived {
			t.Errorf("a run accepted at %d counts as settled", r.acceptedClockMS)
		}
	}
}

// TestRunListedByTheNextIncarnationHasNotSurvivedTheFormerOne guards against a deadly task whose crash is not counted, and those before are forgotten: a late copy of its start executes on the worker that it has crashed.
func TestRunListedByTheNextIncarnationHasNotSurvivedTheFormerOne(t *testing.T) {
	id := workload.TaskID{Job: jobA}
	for _, lost := range []bool{false, true} {
		r := &run{number: 1, worker: "w1", sent: true, orderedAt: time.Now().Add(-time.Second), lost: lost}
		if lost {
			r.blame = &crash{}
		}
		next := &worker{reg: workstate.Worker{ID: "w1", Incarnation: 8}}
		next.report = newReportView(time.Now(), &execution.Report{Incarnation: 8, Running: []execution.RunningTask{{Task: id, Run: 1}}})
		r.observe(next, runKey{id, 1})
		end := workstate.End{Task: id, Run: 1, Kind: workstate.EndInterrupted}
		if r.judge(&end); end.Survived == lost {
			t.Errorf("lost %v: survived %v", lost, end.Survived)
		}
	}
}

// TestDrainOfTheNextIncarnationHidesNoCrash guards against a deadly task that is started once too often because the worker, back under its id, drains before the crash is recorded.
func TestDrainOfTheNextIncarnationHidesNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		former := f.addWorker("w1", 4000)
		f.submit(jobA, step(1))
		start := workstate.Start{Task: workload.TaskID{Job: jobA}, Run: 1, Worker: "w1", Incarnation: former.incarnation, Term: 1}
		f.commit(&workstate.Command{Progress: &workstate.Progress{Starts: []workstate.Start{start}}})
		l := newLoop(t.Context(), Options{Replica: f.replica, Machine: f.machine, Workers: f.workers, Limits: f.limits, Log: slog.New(slog.DiscardHandler), Now: time.Now}, 1)
		time.Sleep(time.Second)
		f.announceDrain(f.workers.add("w1", 4000), "vm-w1")
		f.machine.Read(func(v *workstate.View) { l.findCrashes(v, time.Now()) })
		if r := l.runs.Get(start.Task); r == nil || r.blame == nil {
			t.Error("the run is not blamed for the crash")
		}
	})
}

// lostStarts loses one start order while armed is set, and tells to which worker.
type lostStarts struct {
	*fakeWorkers
	armed atomic.Bool
	lost  chan string
}

func (s *lostStarts) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	if s.armed.CompareAndSwap(true, false) {
		s.lost <- to.ID
		<-ctx.Done()
		return execution.Answer{}, execution.ErrNoAnswer
	}
	return s.fakeWorkers.Start(ctx, to, o)
}

// TestLostStartOrderIsNoThirdCrash guards against a job that is given up for two crashes, after one of a worker that may never have had its task's start order.
func TestLostStartOrderIsNoThirdCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, 2*time.Second, 4)
		f.lead()
		defer func() { f.finish() }()
		calls := &lostStarts{fakeWorkers: f.workers, lost: make(chan string, 1)}
		calls.armed.Store(true)
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		id := <-calls.lost
		f.workers.mu.Lock()
		silent := f.workers.workers[id]
		f.workers.mu.Unlock()
		f.crashWorker(silent)
		for range 2 {
			f.crashWorker(f.awaitRun(jobA))
		}
		f.await(jobA, workstate.Succeeded, 20*time.Second)
	})
}

// TestCrashesUnderChangesOfLeaderGiveNoJobUp guards against a job that is given up for four crashes long after its starts, which no leader could tell from crashes by the start.
func TestCrashesUnderChangesOfLeaderGiveNoJobUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, 2*time.Second, 4)
		f.lead()
		defer func() { f.finish() }()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		for range 4 {
			w := f.awaitRun(jobA)
			f.depose()
			time.Sleep(time.Second)
			f.crashWorker(w)
			f.lead()
		}
		f.await(jobA, workstate.Succeeded, 20*time.Second)
	})
}
