// Package batcher groups the items that one process sends to another into messages, so
// that the number of messages is bounded by time and not by the number of items.
package batcher

import (
	"context"
	"sync"
	"time"
)

// Timing and limits of the messages to one peer.
const (
	// promptDelay is how long the first prompt item of a batch waits for others,
	// patientDelay the same for a batch of patient ones.
	promptDelay  = 3 * time.Millisecond
	patientDelay = 25 * time.Millisecond
	// batchInterval is the minimum time between two batches to one peer, so that
	// many items do not become many messages. A round of a busy leader, which waits
	// for them, takes longer.
	batchInterval = 15 * time.Millisecond
	// maxBatch bounds the items of one message.
	maxBatch = 256
	// maxQueued bounds the items that wait for one peer.
	maxQueued = 8192
	// sendTimeout bounds the time in which the connection takes a message.
	sendTimeout = 500 * time.Millisecond
)

// Urgency tells how long an item may wait for others.
type Urgency bool

const (
	// Patient items are of no use a few milliseconds earlier.
	Patient Urgency = false
	// Prompt items hold up a run, a caller or a decision.
	Prompt Urgency = true
)

// Batcher sends items to one peer in batches, one message at a time. Patient
// items leave with the next prompt one.
type Batcher[T any] struct {
	send func(context.Context, []T)
	// queuedAny and queuedPrompt are signalled when an item and a prompt item
	// was queued.
	queuedAny, queuedPrompt chan struct{}

	mu     sync.Mutex
	queued []T
}

// New starts a Batcher that runs until the context ends. The function
// send owns the slice that it gets.
func New[T any](ctx context.Context, send func(context.Context, []T)) *Batcher[T] {
	b := &Batcher[T]{send: send, queuedAny: make(chan struct{}, 1), queuedPrompt: make(chan struct{}, 1)}
	go b.run(ctx)
	return b
}

// Add queues an item. It returns false if too many wait.
func (b *Batcher[T]) Add(item T, u Urgency) bool {
	b.mu.Lock()
	full := len(b.queued) >= maxQueued
	if !full {
		b.queued = append(b.queued, item)
	}
	b.mu.Unlock()
	signal(b.queuedAny)
	if u == Prompt {
		signal(b.queuedPrompt)
	}
	return !full
}

// signal wakes the receiver of a channel with space for one signal.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (b *Batcher[T]) run(ctx context.Context) {
	// next is when the next batch may leave.
	var next time.Time
	for {
		select {
		case <-b.queuedAny:
		case <-ctx.Done():
			return
		}
		b.awaitOthers(ctx, next)
		next = time.Now().Add(batchInterval)
		b.sendQueued(ctx)
	}
}

// awaitOthers waits while a batch is filled that leaves no earlier than the given time.
func (b *Batcher[T]) awaitOthers(ctx context.Context, next time.Time) {
	select {
	case <-b.queuedPrompt:
		time.Sleep(max(promptDelay, time.Until(next)))
	case <-time.After(patientDelay):
	case <-ctx.Done():
	}
}

// sendQueued sends the queued items. What is queued meanwhile waits for the next call.
func (b *Batcher[T]) sendQueued(ctx context.Context) {
	for {
		batch := b.take()
		if len(batch) > 0 {
			b.sendBatch(ctx, batch)
		}
		if len(batch) < maxBatch {
			return
		}
	}
}

func (b *Batcher[T]) sendBatch(ctx context.Context, batch []T) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	b.send(ctx, batch)
}

// take removes and returns the items of the next message.
func (b *Batcher[T]) take() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queued) <= maxBatch {
		batch := b.queued
		b.queued = nil
		return batch
	}
	batch := b.queued[:maxBatch:maxBatch]
	b.queued = b.queued[maxBatch:]
	return batch
}
