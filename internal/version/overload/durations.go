package overload

import "time"

const (
	// newestWeight is the weight of the newest run in what is learned of a queue. The
	// slowest runs are 3 in 100, so that the mean needs a few hundred.
	newestWeight = 0.005
	// minRuns is the number of runs from which on a queue's own figures are used.
	minRuns = 20
	// minRatio and maxRatio bound the correction of estimates.
	minRatio, maxRatio = 0.25, 4
)

// Durations is what is learned from the ended runs of one queue. Callers' estimates are
// off by up to 0.9 of the value.
type Durations struct {
	runs int
	// actual and estimated are the mean duration of a run and its mean estimate in
	// seconds. The slowest runs are included.
	actual, estimated float64
}

// Add takes one run into account.
func (d *Durations) Add(estimate, actual time.Duration) {
	if estimate <= 0 || actual <= 0 {
		return
	}
	d.runs++
	weight := max(newestWeight, 1/float64(d.runs))
	d.actual += weight * (actual.Seconds() - d.actual)
	d.estimated += weight * (estimate.Seconds() - d.estimated)
}

// Expected returns the expected duration of a task with an estimate. It is halfway
// between the estimate, corrected by the queue's mean ratio, and the queue's mean.
func (d Durations) Expected(estimate time.Duration) time.Duration {
	if d.runs < minRuns {
		return estimate
	}
	mean := time.Duration(d.actual * float64(time.Second))
	if estimate <= 0 {
		return mean
	}
	ratio := min(max(d.actual/d.estimated, minRatio), maxRatio)
	return (time.Duration(ratio*float64(estimate)) + mean) / 2
}
