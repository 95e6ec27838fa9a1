package heartbeats

import (
	"testing"

	"arbutusward.example/arbutusward/internal/connection/workcall"
)

// TestNewLeaderIsToldOfAllHeartbeats guards against a leader that waits for the next heartbeats of workers that a follower has told its predecessor of.
func TestNewLeaderIsToldOfAllHeartbeats(t *testing.T) {
	var h Table
	h.Add(workcall.HeardHeartbeat{Worker: "w1", Sequence: 1})
	for i, want := range []struct {
		leader string
		count  int
	}{{"c1", 1}, {"c1", 0}, {"c2", 1}, {"c2", 0}} {
		if told := h.Take(want.leader); len(told) != want.count {
			t.Errorf("message %d, to %s, tells of %d workers", i, want.leader, len(told))
		}
	}
}
