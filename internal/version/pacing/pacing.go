// Package pacing decides how fast tasks that fill a worker may work beside
// tasks that serve users. It is pure.
//
// It answers a worker where fillers lengthen the tail of the response times
// of serving tasks, by amounts that change within seconds: the fillers slow
// down at once when a tail comes near its target, and speed up step by step
// while it is well below.
package pacing

// Full is the speed of a task that is not paced, in percent.
const Full = 100

const (
	// highRatio and lowRatio are the shares of the target between which the
	// speed stays.
	highRatio, lowRatio = 0.85, 0.6
	// slowDivisor divides the speed when a tail is high; below minSpeed
	// percent the fillers stand still.
	slowDivisor, minSpeed = 3, 10
	// speedStep is added when all tails are low, in percent.
	speedStep = 15
)

// Next returns the speed that follows a speed, in percent, when the largest
// tail beside the fillers is the given share of its target.
func Next(speed int, tailRatio float64) int {
	switch {
	case tailRatio > highRatio:
		speed /= slowDivisor
		if speed < minSpeed {
			return 0
		}
		return speed
	case tailRatio < lowRatio:
		return min(Full, speed+speedStep)
	}
	return speed
}
