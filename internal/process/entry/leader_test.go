package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/link/linktest"
	"arbutusward.example/arbutusward/internal/connection/message"
)

// TestLostAnswerLeavesTimeForAnotherCall guards against a claim whose only attempt takes the whole deadline of its request.
func TestLostAnswerLeavesTimeForAnotherCall(t *testing.T) {
	leader, entry := linktest.Start(t, "leader"), linktest.Start(t, "entry")
	var calls atomic.Int64
	link.Handle(leader, "test.call", func(ctx context.Context, _ link.Peer, n int) (int, error) {
		if calls.Add(1) == 1 {
			<-ctx.Done()
			return 0, ctx.Err()
		}
		return n, nil
	})
	leader.Serve()
	// The deadline of a request with an idempotency key.
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	got, err := callLeader[int, int](ctx, newControls(entry, []string{leader.Address()}), "test.call", 7)
	if got != 7 || err != nil {
		t.Errorf("%d %v after %d calls", got, err, calls.Load())
	}
}

// TestHeldPullIsNotRepeated guards against pulls that end before the leader answers, so that batch requests are leased to nobody.
func TestHeldPullIsNotRepeated(t *testing.T) {
	leader, entry := linktest.Start(t, "leader"), linktest.Start(t, "entry")
	var calls atomic.Int64
	link.Handle(leader, message.PullBatchKind, func(_ context.Context, _ link.Peer, n int) (int, error) {
		calls.Add(1)
		time.Sleep(time.Second)
		return n, nil
	})
	leader.Serve()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	got, err := callLeader[int, int](ctx, newControls(entry, []string{leader.Address()}), message.PullBatchKind, 7)
	if got != 7 || err != nil || calls.Load() != 1 {
		t.Errorf("%d %v after %d calls", got, err, calls.Load())
	}
}
