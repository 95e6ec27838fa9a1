package delegate

import (
	"context"
	"sync"
	"time"
)

const (
	// batchDelay is how long the first item of a batch waits for others.
	batchDelay = 3 * time.Millisecond
	// maxBatch bounds the items of one message.
	maxBatch = 256
	// maxQueued bounds the items that wait for one peer.
	maxQueued = 8192
	// sendTimeout bounds the time in which the connection takes a message.
	sendTimeout = 500 * time.Millisecond
)

// batcher sends items to one peer in batches, one message at a time.
type batcher[T any] struct {
	send func(context.Context, []T)
	wake chan struct{}

	mu     sync.Mutex
	queued []T
}

// newBatcher starts a batcher that runs until the context ends. The function
// send owns the slice that it gets.
func newBatcher[T any](ctx context.Context, send func(context.Context, []T)) *batcher[T] {
	b := &batcher[T]{send: send, wake: make(chan struct{}, 1)}
	go b.run(ctx)
	return b
}

// add queues an item. It returns false if too many wait.
func (b *batcher[T]) add(item T) bool {
	b.mu.Lock()
	full := len(b.queued) >= maxQueued
	if !full {
		b.queued = append(b.queued, item)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return !full
}

func (b *batcher[T]) run(ctx context.Context) {
	for {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return
		}
		time.Sleep(batchDelay)
		for batch := b.take(); len(batch) > 0; batch = b.take() {
			b.sendBatch(ctx, batch)
		}
	}
}

func (b *batcher[T]) sendBatch(ctx context.Context, batch []T) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	b.send(ctx, batch)
}

// take removes and returns the items of the next message.
func (b *batcher[T]) take() []T {
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
