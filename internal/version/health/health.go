// Package health judges workers by the runs that they execute. It is pure.
//
// It answers workers that turn slow, on which tasks stand still, or which
// fail all that they start, while they report themselves healthy: new tasks
// go elsewhere, and what got stuck starts again on another worker.
package health

import (
	"slices"
	"time"
)

const (
	// stallTime is how long a run may show no progress: reports come twice
	// a second, and the slowest progress is 1 percent in a third of one.
	stallTime = 1500 * time.Millisecond
	// minElapsed is the age from which the progress of a run tells its
	// speed.
	minElapsed = 400 * time.Millisecond
	// minSamples is the number of runs from which a worker's speed is
	// judged, since the estimates of single jobs are far off.
	minSamples = 3
	// slowFactor is how much slower than the middle of all workers a slow
	// one is.
	slowFactor = 2.5
	// minWorkers is the number of workers that make a middle.
	minWorkers = 3
)

// Sample is one run that executes.
type Sample struct {
	Worker string
	// Elapsed is the age of the run, Idle the time without progress.
	Elapsed, Idle time.Duration
	Estimate      time.Duration
	// Percent is the share of work done.
	Percent int
}

// Stalled says whether the run stands still.
func (s *Sample) Stalled() bool { return s.Idle > stallTime && s.Percent < 100 }

// Remaining is what the run will still take at its speed so far; 0 if that
// is not known.
func (s *Sample) Remaining() time.Duration {
	if s.Percent <= 0 || s.Elapsed < minElapsed {
		return 0
	}
	return s.Elapsed * time.Duration(100-s.Percent) / time.Duration(s.Percent)
}

// stretch is how much longer than estimated the run takes at its speed so
// far, or 0 if that is not known.
func (s *Sample) stretch() float64 {
	if s.Percent <= 0 || s.Elapsed < minElapsed || s.Estimate <= 0 {
		return 0
	}
	return float64(s.Elapsed) * 100 / float64(s.Percent) / float64(s.Estimate)
}

// SlowWorkers returns the workers that are far slower than the middle one,
// and by how much.
func SlowWorkers(samples []Sample) map[string]float64 {
	stretches := map[string][]float64{}
	for i := range samples {
		if stretch := samples[i].stretch(); stretch > 0 {
			stretches[samples[i].Worker] = append(stretches[samples[i].Worker], stretch)
		}
	}
	speeds := map[string]float64{}
	var all []float64
	for worker, list := range stretches {
		if len(list) >= minSamples {
			speeds[worker] = middle(list)
			all = append(all, speeds[worker])
		}
	}
	if len(all) < minWorkers {
		return nil
	}
	typical := middle(all)
	slow := map[string]float64{}
	for worker, speed := range speeds {
		if speed > slowFactor*typical {
			slow[worker] = speed / typical
		}
	}
	return slow
}

// middle returns the median.
func middle(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/2]
}

// Record is the newest ends of a worker's runs.
type Record struct {
	// failed holds the jobs whose runs have failed since the last success.
	failed map[string]bool
}

// suspectJobs is the number of jobs in a row that must fail on a worker
// before it is left alone: the tasks of one job may all be at fault
// themselves.
const suspectJobs = 2

// Success notes a run that ended well.
func (r *Record) Success() { r.failed = nil }

// Failure notes a run that failed.
func (r *Record) Failure(job string) {
	if r.failed == nil {
		r.failed = map[string]bool{}
	}
	r.failed[job] = true
}

// Suspect says whether the worker fails whatever it starts.
func (r *Record) Suspect() bool { return len(r.failed) >= suspectJobs }
