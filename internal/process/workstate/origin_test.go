package workstate

import "testing"

// register applies a heartbeat of w0 and returns its registration.
func register(t *testing.T, m *Machine, w Worker) *Worker {
	t.Helper()
	w.ID, w.Address, w.VM, w.Service = "w0", "a0", "v0", "s"
	apply(t, m, Command{Register: &w})
	registered := m.data.Workers["w0"]
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
