package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// restartAtStart replaces the worker by its next incarnation just before the first start while it is armed, and cuts that off after its answer.
type restartAtStart struct {
	*fakeWorkers
	armed atomic.Bool
}

func (c *restartAtStart) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	if !c.armed.CompareAndSwap(true, false) {
		return c.fakeWorkers.Start(ctx, to, o)
	}
	c.mu.Lock()
	next := c.add(to.ID, 1000)
	c.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	answer, err := c.fakeWorkers.Start(ctx, to, o)
	c.setUnreachable(next, true)
	return answer, err
}

// TestAnswerOfTheNextIncarnationDoesNotProlongTheLeasesOfTheFormerOne guards against a task that waits for minutes for a worker that is gone, since a clock of its next incarnation is compared with a lease of the former one.
func TestAnswerOfTheNextIncarnationDoesNotProlongTheLeasesOfTheFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		f.addWorker("w1", 1000)
		calls := &restartAtStart{fakeWorkers: f.workers}
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(5 * time.Minute)
		calls.armed.Store(true)
		f.submit(jobA, step(1))
		time.Sleep(time.Second)
		f.addWorker("w2", 1000)
		time.Sleep(time.Minute)
		if !f.workers.workers["w2"].executes(f.workers, workload.TaskID{Job: jobA}) {
			t.Error("the task was not started again")
		}
	})
}

// secondStart answers the first start as the next incarnation of its worker, executes the second one without an answer, and cuts the worker off. Watches are lost.
type secondStart struct {
	*fakeWorkers
	starts atomic.Int64
}

func (c *secondStart) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	if to.ID != "w1" {
		return c.fakeWorkers.Start(ctx, to, o)
	}
	c.mu.Lock()
	if c.starts.Add(1) == 1 {
		c.add(to.ID, 2000)
	} else {
		c.workers[to.ID].loseStarts++
	}
	c.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	answer, err := c.fakeWorkers.Start(ctx, to, o)
	if err != nil {
		c.setUnreachable(c.workers[to.ID], true)
	}
	return answer, err
}

func (c *secondStart) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	report, err := c.fakeWorkers.Watch(ctx, to, q)
	if to.ID == "w1" && c.starts.Load() > 0 {
		<-ctx.Done()
		return execution.Report{}, execution.ErrNoAnswer
	}
	return report, err
}

// TestStartsAfterAnAnswerOfAnotherIncarnationAreCoveredToo guards against a second run beside one whose lease a later start, sent although another incarnation had answered, has extended.
func TestStartsAfterAnAnswerOfAnotherIncarnationAreCoveredToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		f.addWorker("w1", 2000)
		calls := &secondStart{fakeWorkers: f.workers}
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(5*time.Minute + 50*time.Millisecond)
		f.submit(jobA, step(1))
		time.Sleep(600 * time.Millisecond)
		f.submit(jobB, step(1))
		time.Sleep(800 * time.Millisecond)
		f.addWorker("w2", 2000)
		time.Sleep(30 * time.Second)
		if !f.workers.workers["w2"].executes(f.workers, workload.TaskID{Job: jobA}) {
			t.Error("the task was not started again")
		}
	})
}
