package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
)

// startsAfterRestart replaces w1 by its next incarnation before the first start while it is
// armed. The second start there arrives 3 s late, and nothing else does after the first.
type startsAfterRestart struct {
	*fakeWorkers
	armed  atomic.Bool
	starts atomic.Int64
}

func (c *startsAfterRestart) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	if to.ID != "w1" || !c.armed.Load() {
		return c.fakeWorkers.Start(ctx, to, o)
	}
	switch c.starts.Add(1) {
	case 1:
		c.mu.Lock()
		c.add(to.ID, 2000)
		c.mu.Unlock()
		return c.fakeWorkers.Start(ctx, to, o)
	case 2:
		time.AfterFunc(3*time.Second, func() { _, _ = c.start(to, o, true) })
	}
	<-ctx.Done()
	return execution.Answer{}, execution.ErrNoAnswer
}

func (c *startsAfterRestart) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	report, err := c.fakeWorkers.Watch(ctx, to, q)
	if to.ID == "w1" && c.armed.Load() {
		<-ctx.Done()
		return execution.Report{}, execution.ErrNoAnswer
	}
	return report, err
}

// TestWorkerWhoseNextIncarnationHasAnsweredGetsNoStarts guards against a start for the former incarnation that the leader knows to be gone: without an answer, nothing covers the longest lease that it grants the next one.
func TestWorkerWhoseNextIncarnationHasAnsweredGetsNoStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		f.addWorker("w1", 2000)
		calls := &startsAfterRestart{fakeWorkers: f.workers}
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(time.Minute)
		calls.armed.Store(true)
		f.submit(jobA, step(1))
		time.Sleep(50 * time.Millisecond)
		f.submit("bbbbbbbbbbbbbbbb", step(1))
		time.Sleep(100 * time.Millisecond)
		f.addWorker("w2", 2000)
		time.Sleep(40 * time.Second)
	})
}
