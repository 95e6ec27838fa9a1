package delegate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/batcher"
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
	pending  pendingCalls
	peers    map[string]*peer
}

var _ execution.AsyncWorkers = (*Workers)(nil)

// New returns a client that uses delegates until the context ends. It registers
// the handler of their answers with the node.
func New(ctx context.Context, o Options) *Workers {
	w := &Workers{
		options: o, ctx: ctx, session: rand.Uint64(), routes: newRoutes(o.DirectWorkers), peers: map[string]*peer{},
		// Answers to calls of an earlier process at this address match none of
		// this one.
		lastCall: rand.Uint64() >> 1,
	}
	w.pending = newPendingCalls(w.expire)
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

// StartAsync is Start without a goroutine that waits for the answer.
func (w *Workers) StartAsync(ctx context.Context, to execution.WorkerAddress, order execution.StartOrder, timeout time.Duration, then func(execution.Answer, error)) {
	delegate := w.delegateFor(to)
	if delegate == "" {
		execution.StartInBackground(ctx, w.options.Direct, to, order, timeout, then)
		return
	}
	w.callAsync(delegate, call{Worker: to, Start: &order}, timeout, func(a answer, err error) { then(orderAnswer(a, err)) })
}

// WatchAsync is Watch without a goroutine that waits for the answer.
func (w *Workers) WatchAsync(ctx context.Context, to execution.WorkerAddress, watch execution.Watch, timeout time.Duration, then func(execution.Report, error)) {
	delegate := w.delegateFor(to)
	if delegate == "" {
		execution.WatchInBackground(ctx, w.options.Direct, to, watch, timeout, then)
		return
	}
	w.callAsync(delegate, call{Worker: to, Watch: &watch}, timeout, func(a answer, err error) { then(watchAnswer(a, err)) })
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
	return watchAnswer(w.call(ctx, delegate, call{Worker: to, Watch: &watch}))
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
		p.calls.Add(queuedCall{call: call{Worker: execution.WorkerAddress{Address: address}, Forget: true}, deadline: time.Now().Add(sendTimeout)}, batcher.Patient)
	}
}

func (w *Workers) order(ctx context.Context, delegate string, c call) (execution.Answer, error) {
	return orderAnswer(w.call(ctx, delegate, c))
}

// orderAnswer returns the answer to an order.
func orderAnswer(a answer, err error) (execution.Answer, error) { return required(a.Order, err) }

// watchAnswer returns the answer to a watch.
func watchAnswer(a answer, err error) (execution.Report, error) { return required(a.Report, err) }

// required returns what the answer to a call must hold, or why it does not.
func required[T any](held *T, err error) (T, error) {
	var none T
	switch {
	case err != nil:
		return none, err
	case held == nil:
		return none, execution.ErrMalformedAnswer
	}
	return *held, nil
}

// result is the outcome of a call.
type result struct {
	answer answer
	err    error
}

// call sends a call to a delegate and waits for the answer until the context
// ends.
func (w *Workers) call(ctx context.Context, delegate string, c call) (answer, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(sendTimeout)
	}
	ended := make(chan result, 1)
	p := &pendingCall{delegate: delegate, sentAt: time.Now(), then: func(a answer, err error) { ended <- result{a, err} }}
	number, err := w.send(p, c, deadline)
	if err != nil {
		return answer{}, err
	}
	select {
	case r := <-ended:
		return r.answer, r.err
	case <-ctx.Done():
		if w.take(number) != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			w.recordTimeout(p)
		}
		return answer{}, fmt.Errorf("%w: %w", execution.ErrNoAnswer, ctx.Err())
	}
}

// callAsync sends a call to a delegate and passes the answer, or the failure to get
// one in time, to a function.
func (w *Workers) callAsync(delegate string, c call, timeout time.Duration, then func(answer, error)) {
	now := time.Now()
	deadline := now.Add(timeout)
	p := &pendingCall{delegate: delegate, sentAt: now, deadline: deadline, then: then}
	if _, err := w.send(p, c, deadline); err != nil {
		// The caller may not expect the outcome before this function returns.
		go then(answer{}, err)
	}
}

// send queues a call for its delegate and returns its number.
func (w *Workers) send(p *pendingCall, c call, deadline time.Time) (number uint64, err error) {
	w.mu.Lock()
	w.lastCall++
	c.Number = w.lastCall
	w.pending.add(c.Number, p)
	queue := w.peerAt(p.delegate).calls
	w.mu.Unlock()
	if !queue.Add(queuedCall{call: c, deadline: deadline}, c.urgency()) {
		w.take(c.Number)
		return 0, fmt.Errorf("%w: %w", execution.ErrNoAnswer, errQueueFull)
	}
	return c.Number, nil
}

// take ends the wait for an answer. It returns nil if the call has ended already.
func (w *Workers) take(number uint64) *pendingCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending.take(number)
}

// expire ends the calls whose time is over.
func (w *Workers) expire(now time.Time) {
	w.mu.Lock()
	expired := w.pending.takeExpired(now)
	w.mu.Unlock()
	for _, p := range expired {
		w.recordTimeout(p)
		p.then(answer{}, fmt.Errorf("%w: %w", execution.ErrNoAnswer, context.DeadlineExceeded))
	}
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
