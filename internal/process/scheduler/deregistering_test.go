package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/process/workstate"
)

// slowReplica commits progress and deregistrations late.
type slowReplica struct {
	*fakeReplica
	progressDelay, deregisterDelay time.Duration
}

func (r *slowReplica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	var c workstate.Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		return nil, err
	}
	switch {
	case c.Progress != nil:
		time.Sleep(r.progressDelay)
	case c.Deregister != nil:
		time.Sleep(r.deregisterDelay)
	}
	return r.fakeReplica.Propose(ctx, command)
}

// TestRunIsNotOrderedAgainAtAWorkerThatIsBeingDeregistered guards against two runs of a task: its run counts as ended once the deregistration is committed.
func TestRunIsNotOrderedAgainAtAWorkerThatIsBeingDeregistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4*time.Second)
		w1 := f.addWorker("w1", 1000)
		f.lead()
		defer f.depose()
		slow := &slowReplica{fakeReplica: f.replica}
		f.loop.post(func(l *loop) { l.Replica = slow })
		time.Sleep(time.Second)
		f.setUnreachable(w1, true)
		f.submit(jobA, step(1))
		time.Sleep(100 * time.Millisecond)
		f.addWorker("w2", 2000)
		time.Sleep(900 * time.Millisecond)
		// A commit takes so long that the loop does not take note of the end of
		// w1's lease before it finds w1 lost.
		slow.progressDelay, slow.deregisterDelay = 8200*time.Millisecond, 2600*time.Millisecond
		f.submit("bbbbbbbbbbbbbbbb", step(1))
		time.Sleep(7200 * time.Millisecond)
		f.setUnreachable(w1, false)
		time.Sleep(time.Second)
		slow.progressDelay = 0
		f.await(jobA, workstate.Succeeded, 20*time.Second)
	})
}
