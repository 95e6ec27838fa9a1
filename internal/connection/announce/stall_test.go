package announce

import (
	"testing"
	"time"
)

// TestNothingIsTrustedForAWhileAfterAPause stops the ticks and goes on.
func TestNothingIsTrustedForAWhileAfterAPause(t *testing.T) {
	start := time.Now()
	guard := &stallGuard{seenAt: start}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	guard.tick(at(200))
	if !guard.trusts(at(400)) {
		t.Error("a tick 200 ms ago is a pause")
	}
	if guard.trusts(at(3000)) {
		t.Error("trusted before the first tick after a pause")
	}
	guard.tick(at(3001))
	if guard.trusts(at(3500)) {
		t.Error("trusted 500 ms after a pause")
	}
	for ms := 3200; ms <= 4200; ms += 200 {
		guard.tick(at(ms))
	}
	if !guard.trusts(at(4201)) {
		t.Error("not trusted again after the hold")
	}
}
