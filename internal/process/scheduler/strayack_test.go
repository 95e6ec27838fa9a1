package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// strayWatches executes one watch that acknowledges ends late, and answers none
// while silent is set.
type strayWatches struct {
	*fakeWorkers
	delay         time.Duration
	armed, silent atomic.Bool
}

func (s *strayWatches) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	if q.AckedEnd > 0 && s.armed.CompareAndSwap(true, false) {
		time.AfterFunc(s.delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.report(to, q)
		})
		<-ctx.Done()
		return execution.Report{}, execution.ErrNoAnswer
	}
	if s.silent.Load() {
		<-ctx.Done()
		return execution.Report{}, execution.ErrNoAnswer
	}
	return s.fakeWorkers.Watch(ctx, to, q)
}

// TestStrayAcknowledgementDoesNotHideAnEndOfARestartedWorker guards against a start after a run has ended done: the end was taken note of by a watch for the former incarnation.
func TestStrayAcknowledgementDoesNotHideAnEndOfARestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		f.addWorker("w1", 1000)
		calls := &strayWatches{fakeWorkers: f.workers, delay: 1650 * time.Millisecond}
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		f.await(jobA, workstate.Succeeded, time.Second)
		calls.armed.Store(true)
		time.Sleep(time.Second)
		f.workers.mu.Lock()
		f.workers.add("w1", 1000)
		f.workers.mu.Unlock()
		time.Sleep(time.Second)
		// The end of the second job waits for its report when the stray watch arrives.
		f.workers.duration = 400 * time.Millisecond
		f.submit("bbbbbbbbbbbbbbbb", step(1))
		time.Sleep(50 * time.Millisecond)
		calls.silent.Store(true)
		time.Sleep(700 * time.Millisecond)
		calls.silent.Store(false)
		f.await("bbbbbbbbbbbbbbbb", workstate.Succeeded, 5*time.Second)
	})
}

// TestStrayFirstAcknowledgementDoesNotHideAnEndOfARestartedWorker is the same with the only watch that carries the acknowledgement, since that got no answer.
func TestStrayFirstAcknowledgementDoesNotHideAnEndOfARestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		f.addWorker("w1", 1000)
		calls := &strayWatches{fakeWorkers: f.workers, delay: 1650 * time.Millisecond}
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(time.Second)
		calls.armed.Store(true)
		f.submit(jobA, step(1))
		f.await(jobA, workstate.Succeeded, time.Second)
		time.Sleep(900 * time.Millisecond)
		if calls.armed.Load() {
			t.Fatal("no watch has carried the acknowledgement")
		}
		f.workers.mu.Lock()
		f.workers.add("w1", 1000)
		f.workers.mu.Unlock()
		f.workers.duration = 400 * time.Millisecond
		f.submit("bbbbbbbbbbbbbbbb", step(1))
		time.Sleep(50 * time.Millisecond)
		calls.silent.Store(true)
		time.Sleep(700 * time.Millisecond)
		calls.silent.Store(false)
		f.await("bbbbbbbbbbbbbbbb", workstate.Succeeded, 5*time.Second)
	})
}

// TestAcknowledgementThatWasAnsweredIsNotSentAgain guards against a late watch that takes note of ends of the next incarnation, although its acknowledgement had been answered before.
func TestAcknowledgementThatWasAnsweredIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		f.addWorker("w1", 1000)
		calls := &recordedCalls{fakeWorkers: f.workers}
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(time.Second)
		for number, job := range []string{jobA, "bbbbbbbbbbbbbbbb"} {
			calls.take()
			f.submit(job, step(1))
			f.await(job, workstate.Succeeded, time.Second)
			time.Sleep(5 * time.Second)
			var acknowledged []int64
			_, watches, _ := calls.take()
			for _, q := range watches {
				if q.AckedEnd > 0 {
					acknowledged = append(acknowledged, q.AckedEnd)
				}
			}
			if len(acknowledged) != 1 || acknowledged[0] != int64(number+1) {
				t.Errorf("acknowledgements %v of end %d", acknowledged, number+1)
			}
		}
		f.workers.mu.Lock()
		defer f.workers.mu.Unlock()
		if left := f.workers.workers["w1"].ended; len(left) > 0 {
			t.Errorf("ends %v were not taken note of", left)
		}
	})
}
