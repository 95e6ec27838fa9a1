package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/fencing"
	"arbutusward.example/arbutusward/internal/process/workerlease"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// silentWorkers counts stop orders. The answers to watches are lost while silent is set.
type silentWorkers struct {
	*fakeWorkers
	silent atomic.Bool
	stops  atomic.Int64
}

func (s *silentWorkers) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	report, err := s.fakeWorkers.Watch(ctx, to, q)
	if s.silent.Load() {
		return execution.Report{}, execution.ErrNoAnswer
	}
	return report, err
}

func (s *silentWorkers) Stop(ctx context.Context, to execution.WorkerAddress, task workload.TaskID, run int, token uint64) (execution.Answer, error) {
	s.stops.Add(1)
	return s.fakeWorkers.Stop(ctx, to, task, run, token)
}

// leadWithUnrecordedRun starts a leader whose only worker executes a run that is not recorded and takes long to stop.
func (f *fixture) leadWithUnrecordedRun() (*fakeWorker, *silentWorkers) {
	f.lead()
	workers := &silentWorkers{fakeWorkers: f.workers}
	f.loop.post(func(l *loop) { l.Workers = workers })
	synctest.Wait()
	w := f.workers.add("w1", 1000)
	w.stopTime = time.Minute
	f.register(w, "vm-w1", "svc")
	time.Sleep(time.Second)
	f.submit(jobA, step(1))
	time.Sleep(time.Second)
	f.commit(&workstate.Command{Deregister: &workstate.Deregister{ID: w.id, Incarnation: w.incarnation}})
	f.commit(&workstate.Command{Cancel: &workstate.Cancel{ID: jobA}})
	f.register(w, "vm-w1", "svc")
	time.Sleep(2 * time.Second)
	if workers.stops.Load() == 0 {
		f.t.Error("the unrecorded run was not ordered to stop")
	}
	return w, workers
}

// foundSilent is more than the time after which a worker that answers no watch any more is unresponsive.
const foundSilent = busyWatchWait + callTimeout

// TestUnrecordedRunOfASilentWorkerWaitsForItsNextReport guards against stop orders that repeat what a worker reported before it fell silent.
func TestUnrecordedRunOfASilentWorkerWaitsForItsNextReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		_, workers := f.leadWithUnrecordedRun()
		defer f.depose()
		workers.silent.Store(true)
		time.Sleep(foundSilent)
		before := workers.stops.Load()
		time.Sleep(2 * time.Second)
		if useless := workers.stops.Load() - before; useless != 0 {
			t.Errorf("%d stop orders to a silent worker", useless)
		}
		workers.silent.Store(false)
		time.Sleep(time.Second)
		if workers.stops.Load() == before {
			t.Error("no stop order after the worker reported the run again")
		}
	})
}

// TestUnrecordedRunIsLeftToTheNewerLeader guards against stop orders to a worker that refuses this leader's fencing token.
func TestUnrecordedRunIsLeftToTheNewerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		w, workers := f.leadWithUnrecordedRun()
		defer f.depose()
		f.workers.mu.Lock()
		w.token = uint64(fencing.NewToken(f.replica.term+1, 0))
		f.workers.mu.Unlock()
		time.Sleep(foundSilent)
		before := workers.stops.Load()
		time.Sleep(2 * time.Second)
		if useless := workers.stops.Load() - before; useless != 0 {
			t.Errorf("%d stop orders to a worker that refuses them", useless)
		}
	})
}

// TestUnrecordedRunOfASilentWorkerEndsWithItsLease guards against leases that are extended although no report tells what they keep running.
func TestUnrecordedRunOfASilentWorkerEndsWithItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		w, workers := f.leadWithUnrecordedRun()
		defer f.depose()
		workers.silent.Store(true)
		time.Sleep(foundSilent + workerlease.Duration)
		if w.executes(f.workers, workload.TaskID{Job: jobA}) {
			t.Error("the run outlives the lease of its worker")
		}
	})
}
