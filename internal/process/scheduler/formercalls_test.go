package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// recordedCalls keeps the calls that were made to the workers.
type recordedCalls struct {
	*fakeWorkers
	recording sync.Mutex
	starts    []execution.StartOrder
	watches   []execution.Watch
	stops     []uint64
}

func (c *recordedCalls) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	c.recording.Lock()
	c.starts = append(c.starts, o)
	c.recording.Unlock()
	return c.fakeWorkers.Start(ctx, to, o)
}

func (c *recordedCalls) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	c.recording.Lock()
	c.watches = append(c.watches, q)
	c.recording.Unlock()
	return c.fakeWorkers.Watch(ctx, to, q)
}

func (c *recordedCalls) Stop(ctx context.Context, to execution.WorkerAddress, task workload.TaskID, run int, token uint64) (execution.Answer, error) {
	c.recording.Lock()
	c.stops = append(c.stops, token)
	c.recording.Unlock()
	return c.fakeWorkers.Stop(ctx, to, task, run, token)
}

// take returns the calls since the last one, and forgets them.
func (c *recordedCalls) take() (starts []execution.StartOrder, watches []execution.Watch, stops []uint64) {
	c.recording.Lock()
	defer c.recording.Unlock()
	starts, watches, stops = c.starts, c.watches, c.stops
	c.starts, c.watches, c.stops = nil, nil, nil
	return starts, watches, stops
}

// stoppedJob is the job that leadRecorded cancels.
const stoppedJob = "bbbbbbbbbbbbbbbb"

// leadRecorded starts a leader of one worker that has executed two jobs, one of
// which it was ordered to stop.
func (f *fixture) leadRecorded() (*fakeWorker, *recordedCalls) {
	w := f.addWorker("w1", 4000)
	calls := &recordedCalls{fakeWorkers: f.workers}
	f.lead()
	f.loop.post(func(l *loop) { l.Workers = calls })
	time.Sleep(time.Second)
	f.submit(jobA, step(1))
	f.await(jobA, workstate.Succeeded, 2*time.Second)
	f.submit(stoppedJob, step(1))
	time.Sleep(100 * time.Millisecond)
	f.commit(&workstate.Command{Cancel: &workstate.Cancel{ID: stoppedJob}})
	time.Sleep(time.Second)
	return w, calls
}

// TestNextIncarnationRefusesLateCallsForTheFormerOne guards against a late call for a worker's former incarnation that starts a run that is done, or acknowledges ends that nobody has read.
func TestNextIncarnationRefusesLateCallsForTheFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		_, calls := f.leadRecorded()
		defer f.depose()
		starts, watches, stops := calls.take()
		if len(starts) == 0 || len(watches) == 0 || len(stops) == 0 {
			t.Fatalf("%d starts, %d watches and %d stops", len(starts), len(watches), len(stops))
		}
		f.addWorker("w1", 4000)
		time.Sleep(time.Second)
		to, ctx := execution.WorkerAddress{ID: "w1", Address: "w1"}, context.Background()
		for _, o := range starts {
			if answer, err := f.workers.Start(ctx, to, o); err != nil || answer.Refusal != execution.RefusedFencingToken {
				t.Errorf("late start of %s: %+v, %v", o.Task, answer, err)
			}
		}
		for _, q := range watches {
			if report, err := f.workers.Watch(ctx, to, q); err != nil || report.Refusal != execution.RefusedFencingToken {
				t.Errorf("late watch with acknowledged end %d: %+v, %v", q.AckedEnd, report, err)
			}
		}
		for _, token := range stops {
			if answer, err := f.workers.Stop(ctx, to, workload.TaskID{Job: stoppedJob}, 9, token); err != nil || answer.Refusal != execution.RefusedFencingToken {
				t.Errorf("late stop: %+v, %v", answer, err)
			}
		}
	})
}

// TestWorkerThatRegistersAgainIsCalledWithAHigherToken guards against a worker that refuses all calls for the rest of a term because it was deregistered meanwhile.
func TestWorkerThatRegistersAgainIsCalledWithAHigherToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		first, calls := f.leadRecorded()
		defer f.depose()
		second := f.addWorker("w1", 4000)
		time.Sleep(time.Second)
		_, watches, _ := calls.take()
		before := watches[len(watches)-1].FencingToken
		f.commit(&workstate.Command{Deregister: &workstate.Deregister{ID: "w1", Incarnation: second.incarnation}})
		time.Sleep(time.Second)
		calls.take()
		f.register(second, "vm-w1", "svc")
		time.Sleep(time.Second)
		_, watches, _ = calls.take()
		if len(watches) == 0 || watches[0].FencingToken <= before {
			t.Errorf("watches %+v after token %d", watches, before)
		}
		if first.token >= before {
			t.Errorf("the first incarnation was called with %d, the second one with %d", first.token, before)
		}
		f.submit("cccccccccccccccc", step(1))
		f.await("cccccccccccccccc", workstate.Succeeded, 2*time.Second)
	})
}

// strayStart answers no watch that would extend a lease, from armed on until it has
// answered another one, after which a start order arrives late.
type strayStart struct {
	*recordedCalls
	armed   atomic.Bool
	order   execution.StartOrder
	refusal atomic.Pointer[execution.Refusal]
}

func (c *strayStart) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	if c.armed.Load() && q.LeaseUntilMS > 0 {
		<-ctx.Done()
		return execution.Report{}, execution.ErrNoAnswer
	}
	report, err := c.recordedCalls.Watch(ctx, to, q)
	if err == nil && c.armed.CompareAndSwap(true, false) {
		answer, _ := c.recordedCalls.Start(ctx, to, c.order)
		c.refusal.Store(&answer.Refusal)
	}
	return report, err
}

// TestFirstAnswerAfterASilenceProtectsTheNextIncarnation guards against a late start that the next incarnation carries out between its first answer and its registration.
func TestFirstAnswerAfterASilenceProtectsTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		_, recorded := f.leadRecorded()
		defer f.depose()
		starts, _, _ := recorded.take()
		calls := &strayStart{recordedCalls: recorded, order: starts[0]}
		f.loop.post(func(l *loop) { l.Workers = calls })
		f.workers.mu.Lock()
		f.workers.add("w1", 4000)
		f.workers.mu.Unlock()
		calls.armed.Store(true)
		time.Sleep(5 * time.Second)
		if refusal := calls.refusal.Load(); refusal == nil || *refusal != execution.RefusedFencingToken {
			t.Errorf("late start of %s after the first answer: %v", starts[0].Task, refusal)
		}
	})
}

// TestLateCopyOfAnUnansweredStartIsRefused guards against a copy of a start that a worker carries out after it has answered later calls, when its capacity may have shrunk.
func TestLateCopyOfAnUnansweredStartIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		w, calls := f.leadRecorded()
		defer f.depose()
		f.workers.mu.Lock()
		w.loseStarts = 1
		f.workers.mu.Unlock()
		calls.take()
		f.submit("cccccccccccccccc", step(1))
		f.await("cccccccccccccccc", workstate.Succeeded, 2*time.Second)
		time.Sleep(2 * time.Second)
		starts, _, _ := calls.take()
		answer, err := f.workers.Start(context.Background(), execution.WorkerAddress{ID: "w1", Address: "w1"}, starts[0])
		if err != nil || answer.Refusal != execution.RefusedFencingToken {
			t.Errorf("late start of %s: %+v, %v", starts[0].Task, answer, err)
		}
	})
}

// overtakenWatch carries a watch out only after the next start, which is sent after one
// without an answer.
type overtakenWatch struct {
	*recordedCalls
	armed    atomic.Bool
	overtook chan struct{}
	refused  atomic.Int64
}

func (c *overtakenWatch) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	if c.armed.CompareAndSwap(true, false) {
		<-c.overtook
	}
	report, err := c.recordedCalls.Watch(ctx, to, q)
	if report.Refusal == execution.RefusedFencingToken {
		c.refused.Add(1)
	}
	return report, err
}

func (c *overtakenWatch) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	answer, err := c.recordedCalls.Start(ctx, to, o)
	if err == nil {
		select {
		case c.overtook <- struct{}{}:
		default:
		}
	}
	return answer, err
}

// TestOwnOlderCallThatIsRefusedIsRepeated guards against a task that waits since a call with the raised token has overtaken a watch.
func TestOwnOlderCallThatIsRefusedIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		w, recorded := f.leadRecorded()
		defer f.depose()
		calls := &overtakenWatch{recordedCalls: recorded, overtook: make(chan struct{})}
		f.loop.post(func(l *loop) { l.Workers = calls })
		calls.armed.Store(true)
		for calls.armed.Load() {
			time.Sleep(time.Millisecond)
		}
		f.workers.mu.Lock()
		w.loseStarts = 1
		f.workers.mu.Unlock()
		f.submit("cccccccccccccccc", step(1))
		f.await("cccccccccccccccc", workstate.Succeeded, 2*time.Second)
		f.submit("dddddddddddddddd", step(1))
		f.await("dddddddddddddddd", workstate.Succeeded, 2*time.Second)
		if calls.refused.Load() != 1 {
			t.Errorf("%d watches were refused", calls.refused.Load())
		}
	})
}
