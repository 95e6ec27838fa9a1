package workstate

import "testing"

// TestJumpOfTheWallClockForgetsNoRestart guards against a second run beside one whose lease a late call to the deregistered incarnation has extended: another worker leaves after the leader's clock was set forward.
func TestJumpOfTheWallClockForgetsNoRestart(t *testing.T) {
	m := newTestMachine(t)
	register(t, m, Worker{Incarnation: 1, Sequence: 9})
	apply(t, m, Command{Register: &Worker{ID: "w8", Address: "a8", VM: "v8", Service: "s", Incarnation: 1, Sequence: 1}})
	sequence := int64(9)
	apply(t, m, Command{AtMS: 1000, Deregister: &Deregister{ID: "w9", Incarnation: 1, Sequence: &sequence}})
	apply(t, m, Command{AtMS: 1000 + 2*leftMemoryMS, Deregister: &Deregister{ID: "w8", Incarnation: 1, Announced: true}})
	if w := register(t, m, Worker{Incarnation: 2, Sequence: 1}); !w.Restarted {
		t.Error("restarted false")
	}
}
