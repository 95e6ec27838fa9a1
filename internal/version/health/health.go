// Package health judges workers by the runs that they execute. It does no I/O.
//
// It detects workers that become slow, whose tasks make no progress, or that
// fail every task, although they report themselves as healthy. New tasks are
// then placed on other workers, and stuck ones are restarted there.
package health

import (
	"slices"
	"time"
)

const (
	// stallTime is how long a run may show no progress. Reports arrive twice a
	// second, and the slowest progress is 1 percent in a third of a second.
	stallTime = 1500 * time.Millisecond
	// minElapsed is the minimum age of a run for estimating its speed from its
	// progress.
	minElapsed = 400 * time.Millisecond
	// minSamples is the minimum number of runs for judging the speed of a
	// worker, since the estimates of single jobs are inaccurate.
	minSamples = 3
	// slowRatio is the ratio of a worker's slowdown to the median of all
	// workers above which the worker is slow.
	slowRatio = 2.5
	// minWorkers is the minimum number of workers for calculating a median.
	minWorkers = 3
)

// Sample describes one executing run.
type Sample struct {
	Worker string
	// Elapsed is the age of the run, Idle the time since its last progress.
	Elapsed, Idle time.Duration
	Estimate      time.Duration
	// Percent is the share of the work that is done.
	Percent int
}

// Stalled reports whether the run makes no progress.
func (s *Sample) Stalled() bool { return s.Idle > stallTime && s.Percent < 100 }

// Remaining returns how much longer the run will take at its speed so far, or 0
// if the speed is not known.
func (s *Sample) Remaining() time.Duration {
	if s.Percent <= 0 || s.Elapsed < minElapsed {
		return 0
	}
	return s.Elapsed * time.Duration(100-s.Percent) / time.Duration(s.Percent)
}

// slowdown returns the ratio of the expected duration of the run at its speed so
// far to the estimate, or 0 if either is not known.
func (s *Sample) slowdown() float64 {
	if s.Percent <= 0 || s.Elapsed < minElapsed || s.Estimate <= 0 {
		return 0
	}
	return float64(s.Elapsed) * 100 / float64(s.Percent) / float64(s.Estimate)
}

// SlowWorkers returns the workers that are far slower than the median worker,
// each with the ratio of its slowdown to the median.
func SlowWorkers(samples []Sample) map[string]float64 {
	byWorker := map[string][]float64{}
	for i := range samples {
		if slowdown := samples[i].slowdown(); slowdown > 0 {
			byWorker[samples[i].Worker] = append(byWorker[samples[i].Worker], slowdown)
		}
	}
	slowdowns := map[string]float64{}
	var all []float64
	for worker, list := range byWorker {
		if len(list) >= minSamples {
			slowdowns[worker] = median(list)
			all = append(all, slowdowns[worker])
		}
	}
	if len(all) < minWorkers {
		return nil
	}
	medianSlowdown := median(all)
	slow := map[string]float64{}
	for worker, slowdown := range slowdowns {
		if slowdown > slowRatio*medianSlowdown {
			slow[worker] = slowdown / medianSlowdown
		}
	}
	return slow
}

// median sorts the list and returns its median.
func median(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/2]
}

// RunHistory records how the latest runs of a worker ended.
type RunHistory struct {
	// failed is the set of jobs whose runs failed since the last success.
	failed map[string]bool
}

// minFailedJobs is the number of jobs that must fail in a row on a worker before
// it is suspect. Failures of a single job may be the fault of the job.
const minFailedJobs = 2

// AddSuccess records a successful run.
func (h *RunHistory) AddSuccess() { h.failed = nil }

// AddFailure records a failed run of a job.
func (h *RunHistory) AddFailure(job string) {
	if h.failed == nil {
		h.failed = map[string]bool{}
	}
	h.failed[job] = true
}

// Suspect reports whether the worker seems to fail every run.
func (h *RunHistory) Suspect() bool { return len(h.failed) >= minFailedJobs }
