// Package pacing decides how fast best-effort tasks may run on a worker that
// also executes tasks serving users. The scheduler applies the speed with
// throttle orders. The package does no I/O.
//
// Best-effort tasks increase the tail latency of the serving tasks beside them
// by amounts that change within seconds. They are throttled at once when a tail
// latency comes near its target, and sped up step by step while it is well below
// the target.
package pacing

// Full is the speed in percent of a task that is not throttled.
const Full = 100

const (
	// The speed decreases while the ratio of the tail latency to its target is
	// above decreaseRatio, and increases while it is below increaseRatio.
	decreaseRatio, increaseRatio = 0.85, 0.6
	// decreaseDivisor divides the speed when the ratio is high. Below minSpeed
	// percent, best-effort tasks are suspended.
	decreaseDivisor, minSpeed = 3, 10
	// increaseStep is the number of percentage points added to the speed when
	// the ratio is low.
	increaseStep = 15
)

// Next returns the speed in percent that follows the current speed. tailRatio is
// the largest ratio of tail latency to its target among the serving tasks on the
// worker.
func Next(speed int, tailRatio float64) int {
	switch {
	case tailRatio > decreaseRatio:
		speed /= decreaseDivisor
		if speed < minSpeed {
			return 0
		}
		return speed
	case tailRatio < increaseRatio:
		return min(Full, speed+increaseStep)
	}
	return speed
}
