package durations

import (
	"testing"
	"time"
)

// TestOverheadOfStepsIsLearnedByQueue guards against a leader that takes late jobs for timely ones, since it counts the work of their steps only.
func TestOverheadOfStepsIsLearnedByQueue(t *testing.T) {
	overheads := Overheads{}
	for range 400 {
		overheads.Add("busy", 300*time.Millisecond)
		overheads.Add("ahead", -time.Second)
	}
	overheads.Add("busy", time.Hour)
	if got := overheads["busy"]; got < 290*time.Millisecond || got > 350*time.Millisecond {
		t.Errorf("%s learned from runs that took 300 ms beside their work, and from one that hung", got)
	}
	if got := overheads["ahead"]; got != 0 {
		t.Errorf("%s learned from workers whose clocks run ahead", got)
	}
}
