package driver

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
)

// suspend is a command whose application keeps the loops of the members busy for
// suspension.
const (
	suspend    = "suspend"
	suspension = time.Second
)

// TestStatusOfASuspendedLeaderTellsHowLongItHeardOfNoMajority guards against orders of a leader that continues after a suspension before its loop has taken note of the time.
func TestStatusOfASuspendedLeaderTellsHowLongItHeardOfNoMajority(t *testing.T) {
	leader := startGroup(t, 3)
	if silence := leader.Status().LeaderSilence; silence > suspension/2 {
		t.Errorf("silence of %s before the suspension", silence)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	suspended := make(chan struct{})
	go func() {
		defer close(suspended)
		_, _ = leader.Propose(ctx, []byte(suspend))
	}()
	time.Sleep(suspension - suspension/10)
	if silence := leader.Status().LeaderSilence; silence < suspension/2 {
		t.Errorf("silence of %s during the suspension", silence)
	}
	<-suspended
}

// TestStatusOfALeaderOnASuspendedMachineTellsHowLongItHeardOfNoMajority guards against orders of a leader whose monotonic clock stood still during the suspension.
func TestStatusOfALeaderOnASuspendedMachineTellsHowLongItHeardOfNoMajority(t *testing.T) {
	clock := newBootClock()
	var suspended atomic.Int64
	leader := startGroupWithClock(t, 3, func() time.Duration { return clock.now() + time.Duration(suspended.Load()) })
	const span = 5 * time.Second
	suspended.Store(int64(span))
	if silence := leader.Status().LeaderSilence; silence < span {
		t.Errorf("silence of %s after a suspension of %s", silence, span)
	}
}
