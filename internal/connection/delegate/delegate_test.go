package delegate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/batcher"
	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/link/linktest"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// fakeWorkers counts the calls that one process makes.
type fakeWorkers struct {
	mu        sync.Mutex
	calls     map[string]int
	forgotten []string
	// silent workers answer nothing until the call's context ends.
	silent atomic.Bool
	// failureDelay is how long after that the failure is known.
	failureDelay time.Duration
}

func (f *fakeWorkers) record(ctx context.Context, to execution.WorkerAddress) error {
	f.mu.Lock()
	if f.calls == nil {
		f.calls = map[string]int{}
	}
	f.calls[to.Address]++
	f.mu.Unlock()
	if f.silent.Load() {
		<-ctx.Done()
		time.Sleep(f.failureDelay)
		return execution.ErrNoAnswer
	}
	return nil
}

func (f *fakeWorkers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, n := range f.calls {
		sum += n
	}
	return sum
}

func (f *fakeWorkers) Start(ctx context.Context, to execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	return execution.Answer{ClockMS: int64(o.Run)}, f.record(ctx, to)
}

func (f *fakeWorkers) Stop(ctx context.Context, to execution.WorkerAddress, _ workload.TaskID, _ int, _ uint64) (execution.Answer, error) {
	return execution.Answer{Refusal: execution.RefusedStaleRun, ClockMS: 5}, f.record(ctx, to)
}

func (f *fakeWorkers) Throttle(ctx context.Context, to execution.WorkerAddress, _ workload.TaskID, _, percent int, _ uint64) (execution.Answer, error) {
	return execution.Answer{ClockMS: int64(percent)}, f.record(ctx, to)
}

func (f *fakeWorkers) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	report := execution.Report{ClockMS: q.AckedEnd, Incarnation: 9, Running: []execution.RunningTask{{Task: workload.TaskID{Job: "j"}, Run: 2, Percent: 30}}, Ended: []execution.EndedRun{{Number: 3, Task: workload.TaskID{Job: "j", Index: 2}, Run: 4, Reason: execution.ReasonDone, Checkpoint: "c"}}}
	return report, f.record(ctx, to)
}

func (f *fakeWorkers) Forget(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgotten = append(f.forgotten, address)
}

// group is a leader with delegates.
type group struct {
	leader     *Workers
	leaderOwn  *fakeWorkers
	nodes      []*link.Node
	delegates  []*fakeWorkers
	responsive atomic.Pointer[[]string]
}

func newGroup(t *testing.T, delegates, directWorkers int) *group {
	t.Helper()
	g := &group{leaderOwn: &fakeWorkers{}}
	var addresses []string
	for i := range delegates {
		node := linktest.Start(t, fmt.Sprint("d", i))
		own := &fakeWorkers{}
		Serve(t.Context(), node, node.Address(), own, slog.New(slog.DiscardHandler))
		node.Serve()
		g.nodes, g.delegates = append(g.nodes, node), append(g.delegates, own)
		addresses = append(addresses, node.Address())
	}
	g.responsive.Store(&addresses)
	node := linktest.Start(t, "leader")
	g.leader = New(t.Context(), Options{
		Direct: g.leaderOwn, Node: node, Self: node.Address(), DirectWorkers: directWorkers, Log: slog.New(slog.DiscardHandler),
		Responsive: func() []string { return *g.responsive.Load() },
	})
	node.Serve()
	return g
}

func workerAt(i int) execution.WorkerAddress {
	return execution.WorkerAddress{ID: fmt.Sprint("w", i), Address: fmt.Sprintf("10.0.0.%d:80", i)}
}

// start sends a start order that may take half a second.
func (g *group) start(t *testing.T, worker, run int) (execution.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	return g.leader.Start(ctx, workerAt(worker), execution.StartOrder{Task: workload.TaskID{Job: "j"}, Run: run})
}

// TestLeaderDoesNotCallEveryWorkerItself guards against a leader whose processor bounds the runs of the whole fleet.
func TestLeaderDoesNotCallEveryWorkerItself(t *testing.T) {
	g := newGroup(t, 3, 5)
	const workers = 100
	for round := range 3 {
		var wait sync.WaitGroup
		for i := range workers {
			wait.Go(func() {
				if answer, err := g.start(t, i, round+1); err != nil || answer.ClockMS != int64(round+1) {
					t.Errorf("worker %d: %+v %v", i, answer, err)
				}
			})
		}
		wait.Wait()
	}
	if own := g.leaderOwn.count(); own > 5 {
		t.Errorf("the leader made %d calls, in a fleet of more than 5 workers", own)
	}
	for i, d := range g.delegates {
		if n := d.count(); n < workers*3/10 {
			t.Errorf("delegate %d made %d of %d calls", i, n, workers*3)
		}
	}
}

// TestSmallFleetIsCalledDirectly guards against the delay of batches in fleets that one process can call.
func TestSmallFleetIsCalledDirectly(t *testing.T) {
	g := newGroup(t, 2, 5)
	for i := range 5 {
		if _, err := g.start(t, i, 1); err != nil {
			t.Fatal(err)
		}
	}
	if own := g.leaderOwn.count(); own != 5 {
		t.Errorf("the leader made %d of 5 calls", own)
	}
}

func TestEachCallIsAnsweredByItsOwnWorker(t *testing.T) {
	g := newGroup(t, 2, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	for i := range 200 {
		wait.Go(func() {
			answer, err := g.leader.Throttle(ctx, workerAt(i), workload.TaskID{Job: "j"}, 1, i, 1)
			if err != nil || answer.ClockMS != int64(i) {
				t.Errorf("throttle %d: %+v %v", i, answer, err)
			}
			report, err := g.leader.Watch(ctx, workerAt(i), execution.Watch{AckedEnd: int64(i) + 1000, WaitMS: 10})
			if err != nil || report.ClockMS != int64(i)+1000 || report.Incarnation != 9 || len(report.Ended) != 1 || report.Ended[0].Checkpoint != "c" || report.Ended[0].Task.Index != 2 {
				t.Errorf("watch %d: %+v %v", i, report, err)
			}
			stopped, err := g.leader.Stop(ctx, workerAt(i), workload.TaskID{Job: "j"}, 1, 1)
			if err != nil || stopped.Refusal != execution.RefusedStaleRun {
				t.Errorf("stop %d: %+v %v", i, stopped, err)
			}
		})
	}
	wait.Wait()
}

// TestReportOfEndsLeavesOutRunningTasksOnRequest guards against a leader that decodes all runs of a worker for each end.
func TestReportOfEndsLeavesOutRunningTasksOnRequest(t *testing.T) {
	g := newGroup(t, 1, 0)
	for _, endsOnly := range []bool{false, true} {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		report, err := g.leader.Watch(ctx, workerAt(1), execution.Watch{WaitMS: 10, EndsOnly: endsOnly})
		cancel()
		if err != nil || report.EndsOnly != endsOnly || (len(report.Running) == 0) != endsOnly || len(report.Ended) != 1 {
			t.Errorf("ends only %v: %+v %v", endsOnly, report, err)
		}
	}
}

// TestWorkersOfALostDelegateAreCalledAgain guards against workers that stay unreachable because the process that called them is gone.
func TestWorkersOfALostDelegateAreCalledAgain(t *testing.T) {
	g := newGroup(t, 2, 0)
	for i := range 20 {
		if _, err := g.start(t, i, 1); err != nil {
			t.Fatal(err)
		}
	}
	if err := g.nodes[0].Close(); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		_, err := g.start(t, i, 2)
		if err != nil && !errors.Is(err, execution.ErrNoAnswer) {
			t.Fatal(err)
		}
	}
	for i := range 20 {
		if _, err := g.start(t, i, 3); err != nil {
			t.Errorf("worker %d: %v", i, err)
		}
	}
}

func TestUnresponsiveMemberGetsNoCalls(t *testing.T) {
	g := newGroup(t, 2, 0)
	left := []string{g.nodes[1].Address()}
	g.responsive.Store(&left)
	for i := range 20 {
		if _, err := g.start(t, i, 1); err != nil {
			t.Fatal(err)
		}
	}
	none := []string{}
	g.responsive.Store(&none)
	for i := range 20 {
		if _, err := g.start(t, i, 2); err != nil {
			t.Fatal(err)
		}
	}
	if a, b, own := g.delegates[0].count(), g.delegates[1].count(), g.leaderOwn.count(); a != 0 || b != 20 || own != 20 {
		t.Errorf("calls: %d and %d by the delegates, %d by the leader", a, b, own)
	}
}

// checkDelegateIsUsed lets the only delegate answer again and checks that it, and
// not the leader, calls the next worker.
func (g *group) checkDelegateIsUsed(t *testing.T) {
	t.Helper()
	g.delegates[0].silent.Store(false)
	if _, err := g.start(t, 2, 1); err != nil {
		t.Fatal(err)
	}
	if own := g.leaderOwn.count(); own != 0 {
		t.Errorf("the leader made %d calls", own)
	}
}

// TestSilentWorkerDoesNotMakeItsDelegateSuspect guards against one dead worker that takes its delegate from all others.
func TestSilentWorkerDoesNotMakeItsDelegateSuspect(t *testing.T) {
	g := newGroup(t, 1, 0)
	g.delegates[0].silent.Store(true)
	if _, err := g.start(t, 1, 1); !errors.Is(err, execution.ErrNoAnswer) {
		t.Fatalf("error %v", err)
	}
	g.checkDelegateIsUsed(t)
}

// TestLateFailureDoesNotMakeItsDelegateSuspect guards against a delegate that is taken for silent since the failure of a call comes after the leader's timeout.
func TestLateFailureDoesNotMakeItsDelegateSuspect(t *testing.T) {
	g := newGroup(t, 1, 0)
	g.delegates[0].silent.Store(true)
	g.delegates[0].failureDelay = 2 * answerMargin
	if _, err := g.start(t, 1, 1); !errors.Is(err, execution.ErrNoAnswer) {
		t.Fatalf("error %v", err)
	}
	g.checkDelegateIsUsed(t)
}

// TestSilentDelegateIsSuspect guards against workers that stay unreachable because the process that should call them is connected but stopped.
func TestSilentDelegateIsSuspect(t *testing.T) {
	g := newGroup(t, 1, 0)
	link.Handle(g.nodes[0], callsKind, func(context.Context, link.Peer, callBatch) (struct{}, error) { return struct{}{}, nil })
	if _, err := g.start(t, 1, 1); !errors.Is(err, execution.ErrNoAnswer) {
		t.Fatalf("error %v", err)
	}
	if _, err := g.start(t, 2, 1); err != nil {
		t.Errorf("the next worker was not called: %v", err)
	}
}

// TestEndOfLeadershipMakesNoDelegateSuspect guards against a leader that is elected again and calls all workers itself at first.
func TestEndOfLeadershipMakesNoDelegateSuspect(t *testing.T) {
	g := newGroup(t, 1, 0)
	g.delegates[0].silent.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := g.leader.Watch(ctx, workerAt(1), execution.Watch{}); !errors.Is(err, execution.ErrNoAnswer) {
		t.Fatalf("error %v", err)
	}
	g.checkDelegateIsUsed(t)
}

func TestForgetReachesTheDelegate(t *testing.T) {
	g := newGroup(t, 1, 0)
	if _, err := g.start(t, 1, 1); err != nil {
		t.Fatal(err)
	}
	g.leader.Forget(workerAt(1).Address)
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) {
		g.delegates[0].mu.Lock()
		done := len(g.delegates[0].forgotten) == 1
		g.delegates[0].mu.Unlock()
		if done {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("the delegate keeps the connections")
}

// TestCallsThatArriveLateAreNotMade guards against starts that a frozen or cut-off delegate sends seconds after the leader gave them up.
func TestCallsThatArriveLateAreNotMade(t *testing.T) {
	g := newGroup(t, 1, 0)
	own := &fakeWorkers{}
	s := &Server{ctx: t.Context(), node: g.nodes[0], self: "self", workers: own, log: slog.New(slog.DiscardHandler), senders: map[uint64]*freshness{}, replies: map[string]*batcher.Batcher[answer]{}}
	batch := func(age time.Duration) callBatch {
		order := execution.StartOrder{Run: 1}
		return callBatch{ReplyTo: "127.0.0.1:1", SentMS: clockMS() + 12345 - age.Milliseconds(), Calls: []call{{Number: 1, Worker: workerAt(1), TimeoutMS: 500, Start: &order}}}
	}
	for _, age := range []time.Duration{20 * time.Millisecond, 0, 100 * time.Millisecond, 2 * time.Second, 0} {
		if _, err := s.handleCalls(t.Context(), link.Peer{}, batch(age)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	if made := own.count(); made != 4 {
		t.Errorf("%d of 5 calls were made, wanted all but the late one", made)
	}
}

func TestFreshnessFollowsARestartedClock(t *testing.T) {
	var f freshness
	for ms := range int64(1000) {
		if !f.fresh(ms*10, 500_000+ms*10) {
			t.Fatalf("message at %d ms is late", ms*10)
		}
	}
	// The sender restarted on another machine: its clock is an hour behind.
	received := int64(510_000)
	late := 0
	for ms := range int64(3000) {
		if !f.fresh(ms*10-3_600_000, received+ms*10) {
			late++
		}
	}
	if limit := int(2*delayWindow/(10*time.Millisecond)) + 10; late == 0 || late > limit {
		t.Errorf("%d messages late, limit %d", late, limit)
	}
}

func TestIdleRoutesAreRemoved(t *testing.T) {
	table := newRoutes(2)
	now := time.Now()
	usable := func() []string { return []string{"a", "b"} }
	for i := range 10 {
		table.choose(fmt.Sprint("w", i), now, usable)
	}
	later := now.Add(2 * routeIdle)
	table.choose("w9", later, usable)
	if got := table.choose("w20", later, usable); got != "" {
		t.Errorf("a new worker goes to %q although no direct worker is left", got)
	}
	if len(table.assigned) != 2 {
		t.Errorf("%d routes", len(table.assigned))
	}
}
