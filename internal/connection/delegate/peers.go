package delegate

import (
	"context"
	"errors"
	"time"

	"arbutusward.example/arbutusward/internal/connection/batcher"
	"arbutusward.example/arbutusward/internal/connection/link"
)

const (
	// suspectTime is how long a delegate that did not answer gets no calls,
	// unsupportedTime the same for a process of a version without delegates.
	suspectTime     = 2 * time.Second
	unsupportedTime = time.Minute
	// sendTimeout is the time that a call without a deadline of its own has.
	sendTimeout = 500 * time.Millisecond
	// answerMargin is the time left for the answer of a call that fails at the
	// delegate, so that its cause reaches the leader.
	answerMargin = 30 * time.Millisecond
)

// errDelegateLost ends the calls at a delegate that is no longer used.
var errDelegateLost = errors.New("the delegate is unresponsive")

// peer is what is known about one delegate.
type peer struct {
	calls *batcher.Batcher[queuedCall]
	// heardAt is when its last answers or acknowledgements arrived. It gets no
	// calls before suspectUntil.
	heardAt, suspectUntil time.Time
}

// queuedCall is a call that waits to be sent.
type queuedCall struct {
	call
	deadline time.Time
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
		p.calls = batcher.New(w.ctx, func(ctx context.Context, calls []queuedCall) { w.sendCalls(ctx, address, calls) })
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
// neither answered nor acknowledged anything since, it is suspect.
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
	ended := w.pending.takeOf(address)
	w.mu.Unlock()
	if !known {
		w.options.Log.Warn("delegate suspect", "delegate", address, "pause_ms", pause.Milliseconds(), "calls_ended", len(ended), "error", cause.Error())
	}
	failed := answer{Failure: failedNoAnswer, Text: cause.Error()}
	for _, waiting := range ended {
		waiting.then(answer{}, failed.err())
	}
}

// handleAnswers passes the answers of a delegate to the calls that wait.
func (w *Workers) handleAnswers(_ context.Context, _ link.Peer, batch answerBatch) (struct{}, error) {
	waiting := w.takeAnswered(&batch)
	for i, p := range waiting {
		if p == nil {
			continue
		}
		a := batch.Answers[i]
		p.then(a, a.err())
	}
	return struct{}{}, nil
}

// takeAnswered removes and returns the calls that the answers of a batch belong to. An
// answer that none waits for has nil.
func (w *Workers) takeAnswered(batch *answerBatch) []*pendingCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peerAt(batch.From).heardAt = time.Now()
	waiting := make([]*pendingCall, len(batch.Answers))
	for i := range batch.Answers {
		waiting[i] = w.pending.takeFrom(batch.From, batch.Answers[i].Number)
	}
	return waiting
}
