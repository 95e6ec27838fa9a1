package delegate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// errQueueFull ends a call for which there is no room.
var errQueueFull = errors.New("too many calls wait for the delegate")

// Options configures the calls of a leader.
type Options struct {
	// Direct makes the calls of this process itself.
	Direct execution.Workers
	Node   *link.Node
	// Self is the link address of this process.
	Self string
	// Responsive returns the link addresses of the other members that answer
	// this process, if it leads.
	Responsive func() []string
	// DirectWorkers is the size of the largest fleet whose workers this process
	// calls itself.
	DirectWorkers int
	Log           *slog.Logger
}

// Workers calls workers directly or through delegates. It is safe for concurrent
// use.
type Workers struct {
	options Options
	ctx     context.Context
	session uint64

	mu       sync.Mutex
	routes   routes
	lastCall uint64
	pending  map[uint64]*pendingCall
	peers    map[string]*peer
}

// pendingCall is a call whose answer is awaited.
type pendingCall struct {
	delegate string
	sentAt   time.Time
	answered chan answer
}

var _ execution.Workers = (*Workers)(nil)

// New returns a client that uses delegates until the context ends. It registers
// the handler of their answers with the node.
func New(ctx context.Context, o Options) *Workers {
	w := &Workers{
		options: o, ctx: ctx, session: rand.Uint64(), routes: newRoutes(o.DirectWorkers), pending: map[uint64]*pendingCall{}, peers: map[string]*peer{},
		// Answers to calls of an earlier process at this address match none of
		// this one.
		lastCall: rand.Uint64() >> 1,
	}
	link.Handle(o.Node, answersKind, w.handleAnswers)
	return w
}

// Start orders a worker to start a run.
func (w *Workers) Start(ctx context.Context, to execution.WorkerAddress, order execution.StartOrder) (execution.Answer, error) {
	delegate := w.delegateFor(to)
	if delegate == "" {
		return w.options.Direct.Start(ctx, to, order)
	}
	return w.order(ctx, delegate, call{Worker: to, Start: &order})
}

// Stop orders a worker to end a run.
func (w *Workers) Stop(ctx context.Context, to execution.WorkerAddress, task workload.TaskID, run int, fencingToken uint64) (execution.Answer, error) {
	delegate := w.delegateFor(to)
	if delegate == "" {
		return w.options.Direct.Stop(ctx, to, task, run, fencingToken)
	}
	return w.order(ctx, delegate, call{Worker: to, Stop: &stopOrder{Task: task, Run: run, FencingToken: fencingToken}})
}

// Throttle orders a worker to limit the speed of a run.
func (w *Workers) Throttle(ctx context.Context, to execution.WorkerAddress, task workload.TaskID, run, percent int, fencingToken uint64) (execution.Answer, error) {
	delegate := w.delegateFor(to)
	if delegate == "" {
		return w.options.Direct.Throttle(ctx, to, task, run, percent, fencingToken)
	}
	return w.order(ctx, delegate, call{Worker: to, Throttle: &throttleOrder{Task: task, Run: run, Percent: percent, FencingToken: fencingToken}})
}

// Watch requests a worker's report.
func (w *Workers) Watch(ctx context.Context, to execution.WorkerAddress, watch execution.Watch) (execution.Report, error) {
	delegate := w.delegateFor(to)
	if delegate == "" {
		return w.options.Direct.Watch(ctx, to, watch)
	}
	a, err := w.call(ctx, delegate, call{Worker: to, Watch: &watch})
	switch {
	case err != nil:
		return execution.Report{}, err
	case a.Report == nil:
		return execution.Report{}, execution.ErrMalformedAnswer
	}
	return *a.Report, nil
}

// Forget closes all connections to an address.
func (w *Workers) Forget(address string) {
	w.mu.Lock()
	delegate := w.routes.forget(address)
	var p *peer
	if delegate != "" {
		p = w.peerAt(delegate)
	}
	w.mu.Unlock()
	w.options.Direct.Forget(address)
	if p != nil {
		p.calls.add(queuedCall{call: call{Worker: execution.WorkerAddress{Address: address}, Forget: true}, deadline: time.Now().Add(sendTimeout)}, patient)
	}
}

func (w *Workers) order(ctx context.Context, delegate string, c call) (execution.Answer, error) {
	a, err := w.call(ctx, delegate, c)
	switch {
	case err != nil:
		return execution.Answer{}, err
	case a.Order == nil:
		return execution.Answer{}, execution.ErrMalformedAnswer
	}
	return *a.Order, nil
}

// call sends a call to a delegate and waits for the answer until the context
// ends.
func (w *Workers) call(ctx context.Context, delegate string, c call) (answer, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(sendTimeout)
	}
	p := &pendingCall{delegate: delegate, sentAt: time.Now(), answered: make(chan answer, 1)}
	w.mu.Lock()
	w.lastCall++
	c.Number = w.lastCall
	w.pending[c.Number] = p
	queue := w.peerAt(delegate).calls
	w.mu.Unlock()
	defer w.forgetCall(c.Number)
	if !queue.add(queuedCall{call: c, deadline: deadline}, c.urgency()) {
		return answer{}, fmt.Errorf("%w: %w", execution.ErrNoAnswer, errQueueFull)
	}
	select {
	case a := <-p.answered:
		if err := a.err(); err != nil {
			return answer{}, err
		}
		return a, nil
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			w.recordTimeout(p)
		}
		return answer{}, fmt.Errorf("%w: %w", execution.ErrNoAnswer, ctx.Err())
	}
}

func (w *Workers) forgetCall(number uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pending, number)
}

// delegateFor returns the delegate that calls a worker, or "" if this process
// calls it.
func (w *Workers) delegateFor(to execution.WorkerAddress) string {
	responsive := w.options.Responsive()
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.routes.choose(to.Address, now, func() []string { return w.usable(responsive, now) })
}

// end delivers an answer unless there was one before.
func (p *pendingCall) end(a answer) {
	select {
	case p.answered <- a:
	default:
	}
}
