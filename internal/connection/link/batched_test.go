package link

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

// echoPair starts two nodes, of which the second doubles numbers and refuses negative
// ones.
func echoPair(t *testing.T) (from, to *Node) {
	t.Helper()
	from, to = startPair(t)
	Handle(to, "test.double", func(_ context.Context, _ Peer, n int) (int, error) {
		if n < 0 {
			return 0, &Fault{Code: "negative"}
		}
		return 2 * n, nil
	})
	return from, to
}

// TestBatchedCallsGetTheirOwnAnswers guards against callers that get the answer to the call of another one.
func TestBatchedCallsGetTheirOwnAnswers(t *testing.T) {
	from, to := echoPair(t)
	to.Serve()
	from.Serve()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	const calls = 600
	before := messagesSent.Get()
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() {
			got, err := CallBatched[int, int](ctx, from, to.Address(), "test.double", i)
			if err != nil || got != 2*i {
				t.Errorf("call %d: %d %v", i, got, err)
			}
		})
	}
	wait.Wait()
	if sent := messagesSent.Get() - before; sent > calls/4 {
		t.Errorf("%d messages for %d calls and their answers", sent, calls)
	}
	var fault *Fault
	if _, err := CallBatched[int, int](ctx, from, to.Address(), "test.double", -1); !errors.As(err, &fault) || fault.Code != "negative" {
		t.Errorf("error %v, want the fault of the handler", err)
	}
	if left := len(from.batched.waiting); left != 0 {
		t.Errorf("%d calls still wait", left)
	}
}

// TestBatchedCallWithoutAnswerMayHaveBeenExecuted guards against callers who are told that a call had no effect although its peer may have executed it.
func TestBatchedCallWithoutAnswerMayHaveBeenExecuted(t *testing.T) {
	from, to := startPair(t)
	Handle(to, "test.hang", func(ctx context.Context, _ Peer, _ int) (int, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	})
	to.Serve()
	from.Serve()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := CallBatched[int, int](ctx, from, to.Address(), "test.hang", 1); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("error %v, want %v", err, ErrNoAnswer)
	}
}

// TestBatchedCallReachesAPeerOfTheEarlierProtocol guards against calls that get no answer while a new version is rolled out.
func TestBatchedCallReachesAPeerOfTheEarlierProtocol(t *testing.T) {
	from, to := echoPair(t)
	serveProtocol(t, to, sharedProtocol)
	from.Serve()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if got, err := CallBatched[int, int](ctx, from, to.Address(), "test.double", 4); got != 8 || err != nil {
		t.Errorf("%d %v", got, err)
	}
}
