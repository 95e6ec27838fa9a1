package execution

import (
	"context"
	"time"
)

// AsyncWorkers is implemented by Workers that make calls without a goroutine for
// each. The outcome is passed to a function, once, on another goroutine; the function
// must not wait for a later outcome.
type AsyncWorkers interface {
	Workers
	StartAsync(ctx context.Context, to WorkerAddress, order StartOrder, timeout time.Duration, then func(Answer, error))
	WatchAsync(ctx context.Context, to WorkerAddress, watch Watch, timeout time.Duration, then func(Report, error))
}

// StartInBackground makes a start order and passes its outcome to a function.
func StartInBackground(ctx context.Context, w Workers, to WorkerAddress, order StartOrder, timeout time.Duration, then func(Answer, error)) {
	if async, ok := w.(AsyncWorkers); ok {
		async.StartAsync(ctx, to, order, timeout, then)
		return
	}
	InBackground(ctx, timeout, func(ctx context.Context) (Answer, error) { return w.Start(ctx, to, order) }, then)
}

// WatchInBackground makes a watch and passes its outcome to a function.
func WatchInBackground(ctx context.Context, w Workers, to WorkerAddress, watch Watch, timeout time.Duration, then func(Report, error)) {
	if async, ok := w.(AsyncWorkers); ok {
		async.WatchAsync(ctx, to, watch, timeout, then)
		return
	}
	InBackground(ctx, timeout, func(ctx context.Context) (Report, error) { return w.Watch(ctx, to, watch) }, then)
}

// InBackground makes a call on a goroutine of its own, with a timeout, and passes its
// outcome to a function.
func InBackground[T any](ctx context.Context, timeout time.Duration, call func(context.Context) (T, error), then func(T, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		then(call(ctx))
	}()
}
