package workstate

import "testing"

// TestWorkerThatReturnsAfterAnotherHadItsAddressHasRestarted guards against a second run beside one whose lease a late call to the earlier incarnation has extended: a worker that another one replaces is not remembered.
func TestWorkerThatReturnsAfterAnotherHadItsAddressHasRestarted(t *testing.T) {
	m := newTestMachine(t)
	register(t, m, Worker{Incarnation: 1, Sequence: 9})
	apply(t, m, Command{Register: &Worker{ID: "w8", Address: "a9", VM: "v9", Service: "s", Incarnation: 2, Sequence: 1}})
	if w := register(t, m, Worker{Incarnation: 3, Sequence: 1}); !w.Restarted {
		t.Error("restarted false")
	}
}
