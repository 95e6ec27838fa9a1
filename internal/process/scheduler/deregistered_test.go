package scheduler

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestWorkerThatRegistersAgainBeforeTheNextRoundGetsTasks guards against a worker that gets no tasks for the rest of a term because it was deregistered and registered again during one commit.
func TestWorkerThatRegistersAgainBeforeTheNextRoundGetsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		w1 := f.addWorker("w1", 1000)
		f.lead()
		defer f.depose()
		slow := &slowReplica{fakeReplica: f.replica}
		f.loop.post(func(l *loop) { l.Replica = slow })
		time.Sleep(time.Second)
		f.setUnreachable(w1, true)
		time.Sleep(5 * time.Second)
		w2 := f.addWorker("w2", 1000)
		time.Sleep(time.Second)
		slow.progressDelay = 4 * time.Second
		f.submit(jobA, step(1))
		registered := func() (known bool) {
			f.machine.Read(func(v *workstate.View) { known = v.Workers()["w1"] != nil })
			return known
		}
		for registered() {
			time.Sleep(10 * time.Millisecond)
		}
		f.setUnreachable(w1, false)
		f.register(w1, "vm-w1", "svc")
		slow.progressDelay = 0
		f.await(jobA, workstate.Succeeded, 10*time.Second)
		f.setUnreachable(w2, true)
		time.Sleep(2 * time.Second)
		f.submit("bbbbbbbbbbbbbbbb", step(1))
		f.await("bbbbbbbbbbbbbbbb", workstate.Succeeded, 20*time.Second)
	})
}

// noDeregistrations is a replica that does not commit the first deregistrations.
type noDeregistrations struct {
	*fakeReplica
	refuse int
}

func (r *noDeregistrations) Propose(ctx context.Context, command []byte) ([]byte, error) {
	var c workstate.Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		return nil, err
	}
	if c.Deregister != nil && r.refuse > 0 {
		r.refuse--
		return nil, errors.New("no majority")
	}
	return r.fakeReplica.Propose(ctx, command)
}

// TestWorkerWhoseDeregistrationFailedIsDeregisteredLater guards against a lost worker that stays registered for the rest of a term.
func TestWorkerWhoseDeregistrationFailedIsDeregisteredLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		w1 := f.addWorker("w1", 1000)
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Replica = &noDeregistrations{fakeReplica: f.replica, refuse: 1} })
		time.Sleep(time.Second)
		f.setUnreachable(w1, true)
		time.Sleep(30 * time.Second)
		f.machine.Read(func(v *workstate.View) {
			if v.Workers()["w1"] != nil {
				t.Error("still registered")
			}
		})
	})
}

// unknownDeregistration is a replica that applies a deregistration whose result is lost.
type unknownDeregistration struct {
	*fakeReplica
	// lost is closed with the first deregistration, proposed counts them.
	lost     chan struct{}
	proposed int
}

func (r *unknownDeregistration) Propose(ctx context.Context, command []byte) ([]byte, error) {
	var c workstate.Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		return nil, err
	}
	answer, err := r.fakeReplica.Propose(ctx, command)
	if c.Deregister == nil {
		return answer, err
	}
	if r.proposed++; r.proposed > 1 {
		return answer, err
	}
	close(r.lost)
	return nil, replica.ErrUnknownResult
}

// TestRepeatedDeregistrationSparesAWorkerThatHasRegisteredAgain guards against a live worker that is removed, and whose runs count as ended, by the repetition of a deregistration that had its effect.
func TestRepeatedDeregistrationSparesAWorkerThatHasRegisteredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3*time.Second)
		w1 := f.addWorker("w1", 1000)
		f.lead()
		defer f.depose()
		unknown := &unknownDeregistration{fakeReplica: f.replica, lost: make(chan struct{})}
		f.loop.post(func(l *loop) { l.Replica = unknown })
		time.Sleep(time.Second)
		f.setUnreachable(w1, true)
		<-unknown.lost
		f.setUnreachable(w1, false)
		f.register(w1, "vm-w1", "svc")
		f.submit(jobA, step(1))
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			f.machine.Read(func(v *workstate.View) {
				if v.Workers()["w1"] == nil {
					t.Fatal("the worker was removed")
				}
			})
		}
		if f.outcome(jobA) != workstate.Succeeded || f.workers.starts != 1 || unknown.proposed != 2 {
			t.Errorf("outcome %d after %d starts, %d deregistrations", f.outcome(jobA), f.workers.starts, unknown.proposed)
		}
	})
}

// TestNewLeaderKnowsThatADeregisteredWorkerHasRestarted guards against a second run beside one whose lease a late call to the deregistered incarnation has extended.
func TestNewLeaderKnowsThatADeregisteredWorkerHasRestarted(t *testing.T) {
	for name, d := range map[string]workstate.Deregister{"announced": {Announced: true}, "lost": {Sequence: new(int64)}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, time.Minute)
				first := f.addWorker("w1", 1000)
				f.lead()
				time.Sleep(time.Second)
				d.ID, d.Incarnation = "w1", first.incarnation
				if d.Sequence != nil {
					*d.Sequence = 1_000
				}
				f.commit(&workstate.Command{Deregister: &d})
				time.Sleep(time.Second)
				second := f.workers.add("w1", 1000)
				second.leaseMS = second.clock() + longestLease
				if granted := second.leaseMS - second.clock(); granted != longestLease {
					t.Errorf("the stray lease is %d ms long", granted)
				}
				f.register(second, "vm-w1", "svc")
				f.depose()
				f.lead()
				defer f.depose()
				time.Sleep(time.Second)
				f.submit(jobA, step(1))
				time.Sleep(500 * time.Millisecond)
				if !second.executes(f.workers, workload.TaskID{Job: jobA}) {
					t.Fatal("the task was not started")
				}
				f.setUnreachable(second, true)
				f.addWorker("w2", 1000)
				time.Sleep(2 * longestLease * time.Millisecond)
				if !f.workers.workers["w2"].executes(f.workers, workload.TaskID{Job: jobA}) {
					t.Error("the task was not started again")
				}
			})
		})
	}
}
