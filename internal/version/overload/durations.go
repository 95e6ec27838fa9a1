package overload

import "time"

const (
	// newestWeight is the weight of the newest run in what is learned of a queue. The
	// slowest runs are 3 in 100, so that the mean needs several hundred.
	newestWeight = 0.002
	// minRuns is the number of runs from which on a queue's own figures are used.
	minRuns = 100
	// minShare is the least expected duration as a share of the queue's mean.
	minShare = 0.25
)

// Durations is what is learned from the ended runs of one queue: the line that predicts
// the duration of a run from its estimate with the least square error. Callers'
// estimates are off by up to 0.9 of the value, so that the mean often tells more.
type Durations struct {
	runs int
	// actual and estimated are the mean duration of a run and its mean estimate in
	// seconds. The slowest runs are included.
	actual, estimated float64
	// variance is that of the estimate, covariance that of the estimate and the duration.
	variance, covariance float64
}

// Add takes one run into account.
func (d *Durations) Add(estimate, actual time.Duration) {
	if estimate <= 0 || actual <= 0 {
		return
	}
	d.runs++
	weight := max(newestWeight, 1/float64(d.runs))
	byEstimate, byActual := estimate.Seconds()-d.estimated, actual.Seconds()-d.actual
	d.estimated += weight * byEstimate
	d.actual += weight * byActual
	d.variance += weight * ((1-weight)*byEstimate*byEstimate - d.variance)
	d.covariance += weight * ((1-weight)*byEstimate*byActual - d.covariance)
}

// Expected returns the expected duration of a task with an estimate.
func (d Durations) Expected(estimate time.Duration) time.Duration {
	if d.runs < minRuns {
		return estimate
	}
	expected := d.actual
	if estimate > 0 && d.variance > 0 {
		slope := max(0, d.covariance/d.variance)
		expected += slope * (estimate.Seconds() - d.estimated)
	}
	return time.Duration(max(expected, minShare*d.actual) * float64(time.Second))
}
