package driver

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/replica"
)

// TestManyReadsDoNotMultiplyMessages guards against a leader that spends its processor on confirming its leadership for each read.
func TestManyReadsDoNotMultiplyMessages(t *testing.T) {
	leader := startGroup(t, 3)
	const reads, span = 200, 400 * time.Millisecond
	before := confirmCount.Get()
	start := time.Now()
	var wait sync.WaitGroup
	for range reads {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if err := leader.ReadBarrier(ctx); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(span / reads)
	}
	wait.Wait()
	limit := uint64(time.Since(start)/confirmInterval) + 2
	if got := confirmCount.Get() - before; got > limit {
		t.Errorf("%d confirmations for %d reads in %s, limit %d", got, reads, time.Since(start).Round(time.Millisecond), limit)
	}
}

// TestManyProposalsDoNotMultiplyMessages guards against a leader that spends its processor on an append to every member for each proposal.
func TestManyProposalsDoNotMultiplyMessages(t *testing.T) {
	leader := startGroup(t, 3)
	const proposals, span = 400, 400 * time.Millisecond
	before := batchCount.Get()
	start := time.Now()
	var wait sync.WaitGroup
	for range proposals {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			if _, err := leader.Propose(ctx, []byte("command")); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(span / proposals)
	}
	wait.Wait()
	limit := uint64(time.Since(start)/proposeInterval) + 2
	if got := batchCount.Get() - before; got > limit {
		t.Errorf("%d batches for %d proposals in %s, limit %d", got, proposals, time.Since(start).Round(time.Millisecond), limit)
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
