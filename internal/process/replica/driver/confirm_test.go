package driver

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/replica"
)

// spread makes calls at equal distances over a span of time and waits for all. It
// returns the time that this took.
func spread(t *testing.T, calls int, span time.Duration, call func(context.Context) error) time.Duration {
	t.Helper()
	start := time.Now()
	var wait sync.WaitGroup
	for range calls {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			if err := call(ctx); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(span / time.Duration(calls))
	}
	wait.Wait()
	return time.Since(start)
}

// TestManyReadsDoNotMultiplyMessages guards against a leader that spends its processor on confirming its leadership for each read.
func TestManyReadsDoNotMultiplyMessages(t *testing.T) {
	leader := startGroup(t, 3)
	before := confirmCount.Get()
	took := spread(t, 200, 400*time.Millisecond, leader.ReadBarrier)
	if got, limit := confirmCount.Get()-before, uint64(took/confirmInterval)+2; got > limit {
		t.Errorf("%d confirmations for 200 reads in %s, limit %d", got, took.Round(time.Millisecond), limit)
	}
}

// TestManyProposalsDoNotMultiplyMessages guards against a leader that spends its processor on an append to every member for each proposal.
func TestManyProposalsDoNotMultiplyMessages(t *testing.T) {
	leader := startGroup(t, 3)
	interval := leader.options.ProposeInterval
	before := batchCount.Get()
	took := spread(t, 400, 400*time.Millisecond, func(ctx context.Context) error {
		_, err := leader.Propose(ctx, []byte("command"))
		return err
	})
	if got, limit := batchCount.Get()-before, uint64(took/interval)+2; got > limit {
		t.Errorf("%d batches for 400 proposals in %s, limit %d", got, took.Round(time.Millisecond), limit)
	}
}

func TestLoneReadIsConfirmedWithoutDelay(t *testing.T) {
	leader := startGroup(t, 1)
	time.Sleep(2 * confirmInterval)
	start := time.Now()
	if err := leader.ReadBarrier(t.Context()); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took >= confirmInterval {
		t.Errorf("took %s", took)
	}
}

func TestWaitingReadFailsWhenTheReplicaStops(t *testing.T) {
	leader := startGroup(t, 1)
	if err := leader.ReadBarrier(t.Context()); err != nil {
		t.Fatal(err)
	}
	failed := make(chan error, 1)
	go func() {
		// This call waits for the end of the interval.
		failed <- leader.ReadBarrier(context.WithoutCancel(t.Context()))
	}()
	leader.stop()
	select {
	case err := <-failed:
		var other *replica.NotLeaderError
		if err != nil && !errors.As(err, &other) && !errors.Is(err, replica.ErrStopped) && !errors.Is(err, replica.ErrNotConfirmed) {
			t.Errorf("error %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the call was never answered")
	}
}
