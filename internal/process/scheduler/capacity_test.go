package scheduler

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// registeredCapacity returns the registered CPU capacity of worker w1.
func registeredCapacity(s *Server) int64 {
	var capacity int64
	s.machine.Read(func(v *workstate.View) { capacity = v.Workers()["w1"].Capacity.MilliCPU })
	return capacity
}

// beat sends a heartbeat of a worker with a capacity to a leader.
func beat(t *testing.T, s *Server, w workstate.Worker, sequence, milliCPU int64) {
	t.Helper()
	w.Capacity = workload.Resources{MilliCPU: milliCPU, MemoryMB: 1 << 20}
	if _, err := s.Heartbeat(t.Context(), workcall.HeartbeatRequest{Worker: w, Sequence: sequence}); err != nil {
		t.Error(err)
	}
}

func TestLateHeartbeatDoesNotBringBackAFormerCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, w := startMember(t, replica.Status{ID: "c1", Leader: "c1"})
		beat(t, s, w, 1, 8000)
		beat(t, s, w, 3, 2000)
		beat(t, s, w, 2, 8000)
		if capacity := registeredCapacity(s); capacity != 2000 {
			t.Errorf("capacity %d after a late heartbeat, expected 2000", capacity)
		}
		beat(t, s, w, 4, 6000)
		if capacity := registeredCapacity(s); capacity != 6000 {
			t.Errorf("capacity %d after a newer heartbeat, expected 6000", capacity)
		}
		w.Incarnation++
		beat(t, s, w, 1, 4000)
		if capacity := registeredCapacity(s); capacity != 4000 {
			t.Errorf("capacity %d after a restart, expected 4000", capacity)
		}
	})
}

func TestHeartbeatsCommittedOutOfOrderKeepTheNewestCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m, w := startMember(t, replica.Status{ID: "c1", Leader: "c1"})
		m.delay = 100 * time.Millisecond
		go beat(t, s, w, 3, 2000)
		time.Sleep(10 * time.Millisecond)
		beat(t, s, w, 2, 8000)
		synctest.Wait()
		if capacity := registeredCapacity(s); capacity != 2000 {
			t.Errorf("capacity %d after heartbeats in flight together, expected 2000", capacity)
		}
	})
}

func TestUnansweredStartIsNotRepeatedOnAWorkerThatHasShrunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 100*time.Millisecond)
		w := f.addWorker("w1", 1000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		w.unreachable = true
		f.submit(jobA, step(1))
		time.Sleep(100 * time.Millisecond)
		w.resize(0)
		f.register(w, "vm-w1", "svc")
		time.Sleep(2 * time.Second)
		w.unreachable = false
		time.Sleep(5 * time.Second)
		if f.workers.starts != 0 {
			t.Errorf("%d starts on a worker without capacity", f.workers.starts)
		}
		w.resize(1000)
		f.register(w, "vm-w1", "svc")
		f.await(jobA, workstate.Succeeded, 2*time.Second)
	})
}

// restartUnseen restarts worker w1 with a capacity, before any heartbeat of the new incarnation.
func restartUnseen(f *fixture, milliCPU int64) *fakeWorker {
	time.Sleep(time.Second)
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	return f.workers.add("w1", milliCPU)
}

func TestRestartedWorkerGetsNoTasksByItsFormerCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 100*time.Millisecond)
		f.stopEnforcingCapacity()
		f.addWorker("w1", 4000)
		f.lead()
		defer f.depose()
		w := restartUnseen(f, 1000)
		time.Sleep(2 * time.Second)
		f.submit(jobA, step(3))
		time.Sleep(500 * time.Millisecond)
		f.register(w, "vm-w1", "svc")
		f.await(jobA, workstate.Succeeded, 3*time.Second)
	})
}

func TestRestartEndsTheDrainOfAWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 100*time.Millisecond)
		w := f.addWorker("w1", 4000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.announceDrain(w, "vm-w1")
		w = restartUnseen(f, 4000)
		time.Sleep(2 * time.Second)
		s := &Server{replica: f.replica, machine: f.machine, log: slog.New(slog.DiscardHandler), wake: func() {}, onHeartbeats: func([]workcall.HeardHeartbeat) {}, now: time.Now}
		beat(t, s, *f.heartbeat(w, "vm-w1", "svc"), 1, 4000)
		f.submit(jobA, step(1))
		f.await(jobA, workstate.Succeeded, 3*time.Second)
	})
}

func TestUnrecordedRunCountsUntilItHasStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobB = "bbbbbbbbbbbbbbbb"
		f := newFixture(t, 3*time.Second)
		f.stopEnforcingCapacity()
		w := f.addWorker("w1", 1000)
		w.stopTime = 200 * time.Millisecond
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		time.Sleep(time.Second)
		f.commit(&workstate.Command{Deregister: &workstate.Deregister{ID: "w1", Incarnation: w.incarnation}})
		f.commit(&workstate.Command{Cancel: &workstate.Cancel{ID: jobA}})
		f.submit(jobB, step(1))
		f.register(w, "vm-w1", "svc")
		f.await(jobB, workstate.Succeeded, 5*time.Second)
	})
}

func TestLateHeartbeatWithoutNewsSinceDoesNotGrowAWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, w := startMember(t, replica.Status{ID: "c1", Leader: "c1"})
		beat(t, s, w, 1, 2000)
		beat(t, s, w, 3, 2000)
		beat(t, s, w, 2, 8000)
		if capacity := registeredCapacity(s); capacity != 2000 {
			t.Errorf("capacity %d after a late heartbeat, expected 2000", capacity)
		}
	})
}

func TestWorkerThatHasShrunkBelowItsRunsGetsTasksOnceTheyFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2*time.Second)
		f.stopEnforcingCapacity()
		w := f.addWorker("w1", 3000)
		f.leadWithJob(step(3))
		defer f.depose()
		w.resize(0)
		f.register(w, "vm-w1", "svc")
		time.Sleep(1200 * time.Millisecond)
		f.submit("bbbbbbbbbbbbbbbb", step(3))
		f.await(jobA, workstate.Succeeded, 2*time.Second)
		time.Sleep(3 * time.Second)
		w.resize(2000)
		f.register(w, "vm-w1", "svc")
		f.await("bbbbbbbbbbbbbbbb", workstate.Succeeded, 5*time.Second)
		if f.workers.starts != 6 {
			t.Errorf("%d starts of 6 tasks", f.workers.starts)
		}
	})
}

// TestRecordedRunIsNotStartedBesideAnUnrecordedOne guards against a worker over its capacity: the report that first lists a run that counts no more also makes the start of a recorded one due.
func TestRecordedRunIsNotStartedBesideAnUnrecordedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobB = "bbbbbbbbbbbbbbbb"
		f := newFixture(t, 3*time.Second)
		f.stopEnforcingCapacity()
		w := f.addWorker("w1", 1000)
		w.stopTime = 200 * time.Millisecond
		f.lead()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		time.Sleep(500 * time.Millisecond)
		f.depose()
		f.commit(&workstate.Command{Deregister: &workstate.Deregister{ID: "w1", Incarnation: w.incarnation}})
		f.commit(&workstate.Command{Cancel: &workstate.Cancel{ID: jobA}})
		f.register(w, "vm-w1", "svc")
		f.submit(jobB, step(1))
		f.commit(&workstate.Command{Progress: &workstate.Progress{Starts: []workstate.Start{{Task: workload.TaskID{Job: jobB}, Run: 1, Worker: "w1", Incarnation: w.incarnation}}}})
		f.lead()
		defer f.depose()
		f.await(jobB, workstate.Succeeded, 5*time.Second)
	})
}
