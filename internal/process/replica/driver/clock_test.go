package driver

import (
	"testing"
	"time"
)

func TestBootClockAdvancesWithTime(t *testing.T) {
	clock := newBootClock()
	for range 50 {
		before, start := clock.now(), time.Now()
		time.Sleep(clockResolution / 3)
		if got, want := clock.now()-before, time.Since(start); got < clockResolution/3 || got > want+2*clockResolution {
			t.Fatalf("advanced by %s in %s", got, want)
		}
	}
}
