package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// closingWorkers closes the connection of the first start order without an
// answer, refuses the repeated one, and carries the first out later.
type closingWorkers struct {
	*fakeWorkers
	delay time.Duration
	used  bool
}

func (c *closingWorkers) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	if c.used {
		return c.fakeWorkers.Start(ctx, to, o)
	}
	c.used = true
	time.AfterFunc(c.delay, func() { _, _ = c.start(to, o, true) })
	return execution.Answer{Refusal: execution.RefusedUnhealthy, Repeated: true}, nil
}

// TestRefusedStartThatWasSentTwiceIsStopped guards against two runs of a task: the first order may be carried out after the second was refused.
func TestRefusedStartThatWasSentTwiceIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4*time.Second)
		f.addWorker("w1", 1000)
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = &closingWorkers{fakeWorkers: f.workers, delay: 1500 * time.Millisecond} })
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		time.Sleep(100 * time.Millisecond)
		f.addWorker("w2", 1000)
		f.await(jobA, workstate.Succeeded, 10*time.Second)
	})
}

// brokenWorkers executes the first start order and answers with a status that
// says nothing about it.
type brokenWorkers struct {
	*fakeWorkers
	used bool
}

func (b *brokenWorkers) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	answer, err := b.fakeWorkers.Start(ctx, to, o)
	if !b.used {
		b.used = true
		return execution.Answer{Refusal: execution.RefusedOther}, nil
	}
	return answer, err
}

// TestStartWithAnUnknownAnswerIsStoppedBeforeItsTaskGoesOn guards against two runs of a task: a status that is no refusal does not tell whether the order was carried out.
func TestStartWithAnUnknownAnswerIsStoppedBeforeItsTaskGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4*time.Second)
		f.addWorker("w1", 1000)
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = &brokenWorkers{fakeWorkers: f.workers} })
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		f.addWorker("w2", 1000)
		f.await(jobA, workstate.Succeeded, 10*time.Second)
	})
}
