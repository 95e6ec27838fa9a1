package announce

import (
	"testing"
	"time"
)

// TestNothingIsTrustedForAWhileAfterAStall guards against leases that are
// granted for announcements which waited in a socket while the process was
// suspended. The ticks stop for a while and continue.
func TestNothingIsTrustedForAWhileAfterAStall(t *testing.T) {
	start := time.Now()
	guard := &stallGuard{lastTick: start}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	guard.tick(at(200))
	if !guard.canTrust(at(400), time.Time{}) {
		t.Error("a tick 200 ms ago counts as a stall")
	}
	if guard.canTrust(at(3000), time.Time{}) {
		t.Error("trusted before the first tick after a stall")
	}
	guard.tick(at(3001))
	if stall := guard.takeUnreported(); stall != 2800*time.Millisecond {
		t.Errorf("a stall of %s is reported", stall)
	}
	if stall := guard.takeUnreported(); stall != 0 {
		t.Errorf("the stall is reported again with %s", stall)
	}
	if !guard.canTrust(at(3500), at(3400)) {
		t.Error("an announcement that was sent after the stall is not trusted")
	}
	if guard.canTrust(at(3500), at(2900)) {
		t.Error("an announcement that may have been sent during the stall is trusted")
	}
	if guard.canTrust(at(3500), time.Time{}) {
		t.Error("trusted 500 ms after a stall")
	}
	for ms := 3200; ms <= 4200; ms += 200 {
		guard.tick(at(ms))
	}
	if !guard.canTrust(at(4201), time.Time{}) {
		t.Error("not trusted again after distrustTime")
	}
}
