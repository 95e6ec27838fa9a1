package scheduler

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// suspendedReplica is the replica of a leader whose process was suspended since
// lastContact.
type suspendedReplica struct {
	*fakeReplica
	lastContact time.Time
}

func (r *suspendedReplica) Status() replica.Status {
	status := r.fakeReplica.Status()
	if !r.lastContact.IsZero() {
		// The answers that arrive after the suspension are older than it.
		status.Unconfirmed = time.Since(r.lastContact)
	}
	return status
}

// Propose implements replica.Replica. A log that another process leads takes no
// commands.
func (r *suspendedReplica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if !r.lastContact.IsZero() && r.term > 1 {
		return nil, errDeposed
	}
	return r.fakeReplica.Propose(ctx, command)
}

// partialWorkers is the part of a fleet that one leader reaches.
type partialWorkers struct {
	*fakeWorkers
	hidden string
}

func (p *partialWorkers) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	if to.ID == p.hidden {
		<-ctx.Done()
		return execution.Report{}, execution.ErrNoAnswer
	}
	return p.fakeWorkers.Watch(ctx, to, q)
}

// thawScenario is a leader that is suspended while another one, which does not
// reach worker w1, takes over.
type thawScenario struct {
	*fixture
	suspended *suspendedReplica
	former    *loop
}

// suspend stops the loop of the leader for a time. A new leader starts a second
// later; it does not reach worker w1.
func (s *thawScenario) suspend(span time.Duration) {
	s.suspended.lastContact = time.Now()
	s.former.post(func(*loop) { time.Sleep(span) })
	time.Sleep(time.Second)
	s.replica.term++
	next := s.former.Options
	next.Replica, next.Workers = s.replica, &partialWorkers{s.workers, "w1"}
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	s.loop = newLoop(ctx, next, s.replica.term)
	go s.loop.run()
	time.Sleep(span - time.Second)
}

// newThawScenario returns a leader with workers w1 and w2 on which the tasks of
// a job take the given time.
func newThawScenario(t *testing.T, duration time.Duration) *thawScenario {
	s := &thawScenario{fixture: newFixture(t, duration)}
	s.suspended = &suspendedReplica{fakeReplica: s.replica}
	s.addWorker("w1", 1000)
	s.lead()
	s.loop.post(func(l *loop) { l.Replica = s.suspended })
	s.former = s.loop
	time.Sleep(time.Second)
	return s
}

// recordedWatches records the watches of a leader.
type recordedWatches struct {
	*fakeWorkers
	watches chan execution.Watch
}

func (r *recordedWatches) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	r.watches <- q
	return r.fakeWorkers.Watch(ctx, to, q)
}

// TestSuspendedLeaderExtendsNoLeaseOnceItContinues guards against two runs of a task: the next leader has bounded the leases of the former one when it starts the second.
func TestSuspendedLeaderExtendsNoLeaseOnceItContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.addWorker("w1", 1000)
		calls := &recordedWatches{f.workers, make(chan execution.Watch, 1)}
		r := &suspendedReplica{fakeReplica: f.replica, lastContact: time.Now()}
		l := newLoop(t.Context(), Options{Replica: r, Machine: f.machine, Workers: calls, Log: slog.New(slog.DiscardHandler), Now: time.Now}, 1)
		f.machine.Read(l.syncWorkers)
		w := l.workers["w1"]
		w.contacted = true
		w.lease.Record(1000, time.Now())
		for _, silence := range []time.Duration{0, 3 * time.Second} {
			time.Sleep(silence)
			l.watch(w, time.Now())
			if granted := (<-calls.watches).LeaseUntilMS > 0; granted != (silence == 0) {
				t.Errorf("%s after the last contact to a majority: lease extended %v", silence, granted)
			}
		}
		time.Sleep(2 * idleWatchWait)
	})
}

// TestSuspendedLeaderSendsNoStartOnceItContinues guards against the same by an order that waited in the suspended process.
func TestSuspendedLeaderSendsNoStartOnceItContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newThawScenario(t, 4*time.Second)
		end, ended := s.end, s.ended
		s.replica.delay = 20 * time.Millisecond
		s.submit(jobA, step(1))
		// The start is committed, and its result waits for the suspended loop.
		time.Sleep(10 * time.Millisecond)
		s.suspend(6 * time.Second)
		time.Sleep(50 * time.Millisecond)
		end()
		<-ended
		s.addWorker("w2", 1000)
		s.await(jobA, workstate.Succeeded, 40*time.Second)
		if s.workers.starts != 1 {
			t.Errorf("%d starts, expected one of the new leader", s.workers.starts)
		}
	})
}

// deposedReplica is the replica of a process that knows that it leads no more.
type deposedReplica struct {
	*fakeReplica
	leader string
}

func (r *deposedReplica) Status() replica.Status { return replica.Status{ID: "c1", Leader: r.leader} }

// TestDeposedLeaderExtendsNoLease guards against two runs of a task: until its loop is stopped, a process that no longer leads is in contact with another leader or knows of no silence.
func TestDeposedLeaderExtendsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.addWorker("w1", 1000)
		for _, leader := range []string{"", "c2"} {
			calls := &recordedWatches{f.workers, make(chan execution.Watch, 1)}
			l := newLoop(t.Context(), Options{Replica: &deposedReplica{f.replica, leader}, Machine: f.machine, Workers: calls, Log: slog.New(slog.DiscardHandler), Now: time.Now}, 1)
			f.machine.Read(l.syncWorkers)
			w := l.workers["w1"]
			w.contacted = true
			w.lease.Record(1000, time.Now())
			l.watch(w, time.Now())
			if (<-calls.watches).LeaseUntilMS > 0 {
				t.Errorf("lease extended although the leader is %q", leader)
			}
		}
		time.Sleep(2 * idleWatchWait)
	})
}

// TestDeposedLeaderSendsNoStartOfARunThatItsSuccessorRecorded guards against two runs of a task: the successor may take its own refused order for the end of the run.
func TestDeposedLeaderSendsNoStartOfARunThatItsSuccessorRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		w := f.addWorker("w1", 1000)
		f.lead()
		time.Sleep(time.Second)
		f.loop.post(func(l *loop) { l.committing = true })
		f.submit(jobA, step(1))
		start := workstate.Start{Task: workload.TaskID{Job: jobA}, Run: 1, Worker: w.id, Incarnation: w.incarnation, Term: f.replica.term + 1}
		f.commit(&workstate.Command{Progress: &workstate.Progress{Starts: []workstate.Start{start}}})
		f.loop.post(func(l *loop) { l.committing = false })
		time.Sleep(time.Second)
		if f.workers.starts != 0 {
			t.Errorf("%d starts", f.workers.starts)
		}
		f.depose()
		time.Sleep(2 * idleWatchWait)
	})
}
