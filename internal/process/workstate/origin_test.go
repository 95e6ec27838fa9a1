package workstate

import "testing"

// register applies a heartbeat of w9 and returns its registration.
func register(t *testing.T, m *Machine, w Worker) *Worker {
	t.Helper()
	w.ID, w.Address, w.VM, w.Service = "w9", "a9", "v9", "s"
	apply(t, m, Command{Register: &w})
	registered := m.data.Workers["w9"]
	if registered == nil {
		t.Fatalf("incarnation %d is not registered", w.Incarnation)
	}
	return registered
}

// TestFirstReadingOfAClockOutlivesLaterHeartbeats guards against a leader that takes the clock of an incarnation for younger than it is, or that of another incarnation for its own.
func TestFirstReadingOfAClockOutlivesLaterHeartbeats(t *testing.T) {
	m := newTestMachine(t)
	for _, c := range []struct{ incarnation, sequence, clock, want int64 }{
		{1, 1, 0, 0}, {1, 2, 700, 700}, {1, 3, 900, 700}, {2, 1, 50, 50}, {2, 2, 9000, 50}, {3, 1, 80, 80},
	} {
		if got := register(t, m, Worker{Incarnation: c.incarnation, Sequence: c.sequence, FirstClockMS: c.clock}).FirstClockMS; got != c.want {
			t.Errorf("heartbeat %d of incarnation %d: first reading %d, expected %d", c.sequence, c.incarnation, got, c.want)
		}
	}
}

// TestIncarnationRegisteredAgainKeepsItsOrigin guards against a worker, found lost and registered again, of which a later leader expects no lease of calls to its earlier incarnation, or expects one long after these calls have arrived.
func TestIncarnationRegisteredAgainKeepsItsOrigin(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		m := newTestMachine(t)
		if restarted {
			register(t, m, Worker{Incarnation: 1, Sequence: 9})
		}
		register(t, m, Worker{Incarnation: 2, Sequence: 5, FirstClockMS: 700})
		sequence := int64(5)
		apply(t, m, Command{Deregister: &Deregister{ID: "w9", Incarnation: 2, Sequence: &sequence}})
		if w := register(t, m, Worker{Incarnation: 2, Sequence: 6, FirstClockMS: 20_000}); w.Restarted != restarted || w.FirstClockMS != 700 {
			t.Errorf("restarted %t, expected %t; first reading %d", w.Restarted, restarted, w.FirstClockMS)
		}
	}
}
