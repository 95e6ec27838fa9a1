package delegate

import (
	"errors"
	"log/slog"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/connection/link/linktest"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestOutstandingCallsNeedNoGoroutineEach guards against a leader whose processor time goes to goroutines that wait for workers.
func TestOutstandingCallsNeedNoGoroutineEach(t *testing.T) {
	silent := linktest.Start(t, "silent")
	silent.Serve()
	node := linktest.Start(t, "leader")
	w := New(t.Context(), Options{
		Direct: &fakeWorkers{}, Node: node, Self: node.Address(), DirectWorkers: 0, Log: slog.New(slog.DiscardHandler),
		Responsive: func() []string { return []string{silent.Address()} },
	})
	node.Serve()
	const calls, timeout = 500, 400 * time.Millisecond
	var ended, wrong atomic.Int64
	before := runtime.NumGoroutine()
	start := time.Now()
	for i := range calls {
		w.StartAsync(t.Context(), workerAt(i%200), execution.StartOrder{Task: workload.TaskID{Job: "j"}, Run: i}, timeout, func(_ execution.Answer, err error) {
			ended.Add(1)
			if !errors.Is(err, execution.ErrNoAnswer) || time.Since(start) < timeout {
				wrong.Add(1)
			}
		})
	}
	if added := runtime.NumGoroutine() - before; added > calls/10 {
		t.Errorf("%d goroutines for %d calls", added, calls)
	}
	time.Sleep(timeout + 4*expiryInterval)
	if ended.Load() != calls || wrong.Load() != 0 {
		t.Errorf("%d of %d calls have ended, %d of them otherwise than without an answer after %s", ended.Load(), calls, wrong.Load(), timeout)
	}
}

// TestAsyncCallsGetTheirOwnAnswers guards against outcomes that are passed to another call, or twice.
func TestAsyncCallsGetTheirOwnAnswers(t *testing.T) {
	g := newGroup(t, 3, 0)
	const calls = 300
	outcomes := make(chan int, 2*calls)
	for i := range calls {
		g.leader.StartAsync(t.Context(), workerAt(i%40), execution.StartOrder{Task: workload.TaskID{Job: "j"}, Run: i}, time.Second, func(a execution.Answer, err error) {
			if err != nil || a.ClockMS != int64(i) {
				t.Errorf("call %d: %+v, %v", i, a, err)
			}
			outcomes <- i
		})
		g.leader.WatchAsync(t.Context(), workerAt(i%40), execution.Watch{AckedEnd: int64(i)}, time.Second, func(r execution.Report, err error) {
			if err != nil || r.ClockMS != int64(i) {
				t.Errorf("watch %d: %+v, %v", i, r, err)
			}
			outcomes <- i
		})
	}
	count := map[int]int{}
	for range 2 * calls {
		select {
		case i := <-outcomes:
			count[i]++
		case <-time.After(5 * time.Second):
			t.Fatalf("%d outcomes of %d calls", len(count), 2*calls)
		}
	}
	for i, n := range count {
		if n != 2 {
			t.Errorf("call %d has %d outcomes, expected 2", i, n)
		}
	}
}
