package pacing

import "testing"

// tail returns the ratio of a tail latency to its target: the ratio without
// best-effort tasks plus their disturbance, which is proportional to their speed.
func tail(alone, disturbance float64, speed int) float64 {
	return alone + disturbance*float64(speed)/Full
}

func TestServingTaskIsBelowItsTargetSoon(t *testing.T) {
	for _, disturbance := range []float64{0.8, 1.5, 4} {
		speed, above := Full, 0
		for range 60 {
			ratio := tail(0.4, disturbance, speed)
			if ratio > 1 {
				above++
			}
			speed = Next(speed, ratio)
		}
		// The ratio is above 1 during the first decreases, and once after each
		// recovery of the speed.
		if above > 12 {
			t.Errorf("disturbance %.1f: over the target in %d of 60 steps", disturbance, above)
		}
	}
}

func TestServingTaskIsNeverOverItsTargetForLong(t *testing.T) {
	speed, consecutive, longest := Full, 0, 0
	for range 100 {
		ratio := tail(0.5, 3, speed)
		if ratio > 1 {
			consecutive++
		} else {
			consecutive = 0
		}
		longest = max(longest, consecutive)
		speed = Next(speed, ratio)
	}
	if longest > 3 {
		t.Errorf("over the target for %d steps in a row", longest)
	}
}

func TestBestEffortTasksThatDisturbLittleReachFullSpeed(t *testing.T) {
	speed := 0
	for range 10 {
		speed = Next(speed, tail(0.2, 0.2, speed))
	}
	if speed != Full {
		t.Errorf("speed %d with a tail latency far below its target", speed)
	}
}
