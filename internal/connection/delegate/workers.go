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

const (
	// suspectTime is how long a delegate that did not answer gets no calls.
	suspectTime = 2 * time.Second
	// answerMargin is the time left for the answer of a call that fails at the
	// delegate, so that a call without any answer means that the delegate is
	// unresponsive.
	answerMargin = 30 * time.Millisecond
	// unsupportedTime is the same for a process of a version without
	// delegates.
	unsupportedTime = time.Minute
)

// errDelegateLost ends the calls at a delegate that is no longer used.
var errDelegateLost = errors.New("the delegate is unresponsive")

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
	// DirectWorkers is the number of workers that this process calls itself.
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

// peer is what is known about one delegate.
type peer struct {
	calls *batcher[queuedCall]
	// heardAt is when its last answers arrived. It gets no calls before
	// suspectUntil.
	heardAt, suspectUntil time.Time
}

// queuedCall is a call that waits to be sent.
type queuedCall struct {
	call
	deadline time.Time
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
		p.calls.add(queuedCall{call: call{Worker: execution.WorkerAddress{Address: address}, Forget: true}, deadline: time.Now().Add(sendTimeout)})
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
	if !queue.add(queuedCall{call: c, deadline: deadline}) {
		return answer{}, fmt.Errorf("%w: %w", execution.ErrNoAnswer, errQueueFull)
	}
	select {
	case a := <-p.answered:
		if err := a.err(); err != nil {
			return answer{}, err
		}
		return a, nil
	case <-ctx.Done():
		w.recordTimeout(p)
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

// usable returns the delegates among the responsive members that are not
// suspect.
func (w *Workers) usable(responsive []string, now time.Time) []string {
	var list []string
	for _, address := range responsive {
		if p := w.peers[address]; address != w.options.Self && (p == nil || now.After(p.suspectUntil)) {
			list = append(list, address)
		}
	}
	return list
}

// peerAt returns the delegate at a link address. The caller holds w.mu.
func (w *Workers) peerAt(address string) *peer {
	p := w.peers[address]
	if p == nil {
		p = &peer{}
		p.calls = newBatcher(w.ctx, func(ctx context.Context, calls []queuedCall) { w.sendCalls(ctx, address, calls) })
		w.peers[address] = p
	}
	return p
}

// sendCalls sends the calls that still have time left.
func (w *Workers) sendCalls(ctx context.Context, address string, queued []queuedCall) {
	now := time.Now()
	batch := callBatch{ReplyTo: w.options.Self, SentMS: clockMS(), Session: w.session}
	for _, q := range queued {
		left := q.deadline.Sub(now)
		if left <= 0 {
			continue
		}
		q.TimeoutMS = max(1, (left - answerMargin).Milliseconds())
		batch.Calls = append(batch.Calls, q.call)
	}
	if len(batch.Calls) == 0 {
		return
	}
	err := link.Send(ctx, w.options.Node, address, callsKind, batch)
	if err == nil || w.ctx.Err() != nil {
		return
	}
	pause := suspectTime
	var fault *link.Fault
	if errors.As(err, &fault) && fault.Code == link.CodeUnknownKind {
		pause = unsupportedTime
	}
	w.suspect(address, pause, err)
}

// recordTimeout handles a call that got no answer in time. If the delegate has
// sent no answer at all since, it is suspect.
func (w *Workers) recordTimeout(p *pendingCall) {
	w.mu.Lock()
	silent := !w.peerAt(p.delegate).heardAt.After(p.sentAt)
	w.mu.Unlock()
	if silent {
		w.suspect(p.delegate, suspectTime, errDelegateLost)
	}
}

// suspect stops using a delegate for a time and ends the calls that wait for it.
func (w *Workers) suspect(address string, pause time.Duration, cause error) {
	now := time.Now()
	w.mu.Lock()
	p := w.peerAt(address)
	known := now.Before(p.suspectUntil)
	p.suspectUntil = now.Add(pause)
	ended := 0
	for _, waiting := range w.pending {
		if waiting.delegate == address {
			ended++
			waiting.end(answer{Failure: failedNoAnswer, Text: cause.Error()})
		}
	}
	w.mu.Unlock()
	if !known {
		w.options.Log.Warn("delegate suspect", "delegate", address, "pause_ms", pause.Milliseconds(), "calls_ended", ended, "error", cause.Error())
	}
}

// end delivers an answer unless there was one before.
func (p *pendingCall) end(a answer) {
	select {
	case p.answered <- a:
	default:
	}
}

// handleAnswers passes the answers of a delegate to the calls that wait.
func (w *Workers) handleAnswers(_ context.Context, _ link.Peer, batch answerBatch) (struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peerAt(batch.From).heardAt = time.Now()
	for i := range batch.Answers {
		if p := w.pending[batch.Answers[i].Number]; p != nil && p.delegate == batch.From {
			p.end(batch.Answers[i])
		}
	}
	return struct{}{}, nil
}
