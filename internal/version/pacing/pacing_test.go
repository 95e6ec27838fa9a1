package pacing

import "testing"

// tail is the share of its target that a tail takes beside fillers of a
// speed, on a worker where they disturb by the given amount.
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
		// The first steps down, and one for each time that the speed has
		// come back.
		if above > 12 {
			t.Errorf("disturbance %.1f: over the target in %d of 60 steps", disturbance, above)
		}
	}
}

func TestServingTaskIsNeverOverItsTargetForLong(t *testing.T) {
	speed, inRow, most := Full, 0, 0
	for range 100 {
		ratio := tail(0.5, 3, speed)
		if ratio > 1 {
			inRow++
		} else {
			inRow = 0
		}
		most = max(most, inRow)
		speed = Next(speed, ratio)
	}
	if most > 3 {
		t.Errorf("over the target for %d steps in a row", most)
	}
}

func TestFillersThatDisturbLittleReachFullSpeed(t *testing.T) {
	speed := 0
	for range 10 {
		speed = Next(speed, tail(0.2, 0.2, speed))
	}
	if speed != Full {
		t.Errorf("speed %d beside a tail far below its target", speed)
	}
}
