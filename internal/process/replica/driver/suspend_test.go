package driver

import (
	"context"
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
