package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workerlease"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// firstClock returns the registered first reading of w1's clock.
func firstClock(m *workstate.Machine) (ms int64) {
	m.Read(func(v *workstate.View) { ms = v.Workers()["w1"].FirstClockMS })
	return ms
}

// TestHeartbeatRegistersTheFirstReadingOfItsClock guards against a wait for stray leases long after a restart, for lack of a first reading.
func TestHeartbeatRegistersTheFirstReadingOfItsClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, w := startMember(t, replica.Status{ID: "c1", Leader: "c1"})
		w.Incarnation++
		if _, err := s.Heartbeat(t.Context(), workcall.HeartbeatRequest{Worker: w, Sequence: 1, ClockMS: 77}); err != nil {
			t.Fatal(err)
		}
		if first := firstClock(s.machine); first != 77 {
			t.Errorf("first reading %d", first)
		}
	})
}

// TestReportRegistersTheFirstReadingOfItsClock guards against a bound of a restarted worker that counts from the clock of its former incarnation, or that the next leader counts from its own first contact.
func TestReportRegistersTheFirstReadingOfItsClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.addWorker("w1", 1000)
		f.lead()
		defer func() { f.depose() }()
		time.Sleep(time.Second)
		f.workers.mu.Lock()
		second := f.workers.add("w1", 1000)
		f.workers.mu.Unlock()
		time.Sleep(2 * time.Second)
		if first := firstClock(f.machine); first < second.clockStartMS || first > second.clock() {
			t.Errorf("first reading %d of a clock from %d", first, second.clockStartMS)
		}
		time.Sleep(time.Minute)
		f.depose()
		f.lead()
		time.Sleep(50 * time.Millisecond)
		f.loop.post(func(l *loop) {
			w := l.workers["w1"]
			if bound := w.lease.UntilMS() - w.lease.Reading().MS; bound > (workerlease.Duration + time.Second).Milliseconds() {
				t.Errorf("the next leader's bound is %d ms", bound)
			}
		})
		time.Sleep(time.Second)
	})
}
