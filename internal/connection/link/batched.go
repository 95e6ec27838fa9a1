package link

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/codec"
	"arbutusward.example/arbutusward/internal/connection/batcher"
	"arbutusward.example/arbutusward/internal/process/logging"
)

// Kinds of the messages that carry batched calls and their answers.
const (
	batchedCallsKind   Kind = "link.calls"
	batchedAnswersKind Kind = "link.answers"
)

// maxBatchedBytes is the size of the largest request of a batched call.
const maxBatchedBytes = 32 << 10

// errCallsQueued ends a call that was not sent, since too many wait for its peer.
var errCallsQueued = errors.New("too many calls wait for the peer")

// callBatch carries calls to one peer.
type callBatch struct {
	// ReplyTo is the link address of the caller.
	ReplyTo string        `cbor:"1,keyasint"`
	Calls   []batchedCall `cbor:"2,keyasint"`
}

type batchedCall struct {
	// Number identifies the call in its answer.
	Number uint64          `cbor:"1,keyasint"`
	Kind   Kind            `cbor:"2,keyasint"`
	Body   cbor.RawMessage `cbor:"3,keyasint"`
}

// answerBatch carries the answers to calls of one peer.
type answerBatch struct {
	// From is the link address that the calls were sent to.
	From    string          `cbor:"1,keyasint"`
	Answers []batchedAnswer `cbor:"2,keyasint"`
}

type batchedAnswer struct {
	Number uint64          `cbor:"1,keyasint"`
	Fault  *Fault          `cbor:"2,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// batchedOutcome is an answer, or the reason why there is none.
type batchedOutcome struct {
	answer batchedAnswer
	err    error
}

// waitingCall is a batched call whose answer is awaited.
type waitingCall struct {
	peer    string
	outcome chan batchedOutcome
}

// batchedCalls holds the state of a node's batched calls. It is safe for concurrent
// use.
type batchedCalls struct {
	node *Node
	// ctx ends when the node is closed.
	ctx   context.Context
	close context.CancelFunc

	mu sync.Mutex
	// calls and answers hold the items that wait for each address.
	calls   map[string]*batcher.Batcher[batchedCall]
	answers map[string]*batcher.Batcher[batchedAnswer]
	waiting map[uint64]waitingCall
	last    uint64
}

// newBatchedCalls registers the handlers of batched calls with the node.
func newBatchedCalls(n *Node) *batchedCalls {
	b := &batchedCalls{
		node: n, calls: map[string]*batcher.Batcher[batchedCall]{}, answers: map[string]*batcher.Batcher[batchedAnswer]{}, waiting: map[uint64]waitingCall{},
		// Answers to calls of an earlier process at this address match none of
		// this one.
		last: rand.Uint64() >> 1,
	}
	b.ctx, b.close = context.WithCancel(context.Background())
	Handle(n, batchedCallsKind, b.handleCalls)
	Handle(n, batchedAnswersKind, b.handleAnswers)
	return b
}

// CallBatched is Call for a peer to which many calls are made at the same time: the
// calls of some milliseconds share a message, and so do their answers.
func CallBatched[Req, Resp any](ctx context.Context, n *Node, address string, kind Kind, req Req) (Resp, error) {
	body, err := n.callBatched(ctx, address, kind, req)
	return decodeAnswer[Resp](body, err, kind, address)
}

func (n *Node) callBatched(ctx context.Context, address string, kind Kind, req any) ([]byte, error) {
	peer, err := n.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	if peer.protocol != batchedProtocol {
		return n.call(ctx, address, kind, req)
	}
	body, err := codec.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	if len(body) > maxBatchedBytes {
		// Many large calls would exceed the size of a message, and the memory of
		// the queue.
		return n.call(ctx, address, kind, req)
	}
	return n.batched.exchange(ctx, address, batchedCall{Kind: kind, Body: body})
}

// exchange queues a call and waits for its answer until the context ends.
func (b *batchedCalls) exchange(ctx context.Context, address string, c batchedCall) ([]byte, error) {
	outcome := make(chan batchedOutcome, 1)
	b.mu.Lock()
	b.last++
	c.Number = b.last
	b.waiting[c.Number] = waitingCall{address, outcome}
	queue := b.callsTo(address)
	b.mu.Unlock()
	defer b.take(address, c.Number)
	if !queue.Add(c, batcher.Prompt) {
		return nil, errCallsQueued
	}
	select {
	case o := <-outcome:
		if o.err == nil && o.answer.Fault != nil {
			return nil, o.answer.Fault
		}
		return o.answer.Body, o.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
	}
}

// take ends the wait for the answer of a peer. It reports false if none is awaited.
func (b *batchedCalls) take(address string, number uint64) (waitingCall, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.waiting[number]
	if !ok || w.peer != address {
		return waitingCall{}, false
	}
	delete(b.waiting, number)
	return w, true
}

// callsTo returns the queue of the calls to an address. The caller holds b.mu.
func (b *batchedCalls) callsTo(address string) *batcher.Batcher[batchedCall] {
	queue := b.calls[address]
	if queue == nil {
		queue = batcher.New(b.ctx, func(ctx context.Context, calls []batchedCall) { b.sendCalls(ctx, address, calls) })
		b.calls[address] = queue
	}
	return queue
}

// sendCalls sends one batch. Its calls fail with it.
func (b *batchedCalls) sendCalls(ctx context.Context, address string, calls []batchedCall) {
	err := b.node.send(ctx, address, batchedCallsKind, callBatch{ReplyTo: b.node.Address(), Calls: calls})
	if err == nil {
		return
	}
	for i := range calls {
		if w, ok := b.take(address, calls[i].Number); ok {
			w.outcome <- batchedOutcome{err: err}
		}
	}
}

// handleCalls serves the calls of a batch, each on a goroutine of its own.
func (b *batchedCalls) handleCalls(ctx context.Context, peer Peer, batch callBatch) (struct{}, error) {
	answers := b.answersTo(batch.ReplyTo)
	for i := range batch.Calls {
		go b.serve(ctx, peer, &batch.Calls[i], answers)
	}
	return struct{}{}, nil
}

func (b *batchedCalls) serve(ctx context.Context, peer Peer, c *batchedCall, answers *batcher.Batcher[batchedAnswer]) {
	response := b.node.handleRequest(ctx, peer, request{Kind: c.Kind, Body: c.Body})
	if !answers.Add(batchedAnswer{Number: c.Number, Fault: response.Fault, Body: response.Body}, batcher.Prompt) {
		b.node.log.Warn("answer of a batched call dropped, too many wait", "kind", c.Kind, "peer", peer.ID)
	}
}

// answersTo returns the queue of the answers to a caller.
func (b *batchedCalls) answersTo(address string) *batcher.Batcher[batchedAnswer] {
	b.mu.Lock()
	defer b.mu.Unlock()
	queue := b.answers[address]
	if queue == nil {
		queue = batcher.New(b.ctx, func(ctx context.Context, answers []batchedAnswer) { b.sendAnswers(ctx, address, answers) })
		b.answers[address] = queue
	}
	return queue
}

func (b *batchedCalls) sendAnswers(ctx context.Context, address string, answers []batchedAnswer) {
	err := b.node.send(ctx, address, batchedAnswersKind, answerBatch{From: b.node.Address(), Answers: answers})
	if err != nil && b.ctx.Err() == nil {
		b.node.log.Warn("answers of batched calls not sent", "caller", address, "answers", len(answers), logging.Err(err))
	}
}

// handleAnswers passes the answers of a batch to the calls that wait for them.
func (b *batchedCalls) handleAnswers(_ context.Context, _ Peer, batch answerBatch) (struct{}, error) {
	for _, answer := range batch.Answers {
		if w, ok := b.take(batch.From, answer.Number); ok {
			w.outcome <- batchedOutcome{answer: answer}
		}
	}
	return struct{}{}, nil
}
