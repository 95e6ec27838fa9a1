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
	// minSamples and minJobs are the minimum numbers of runs and of their jobs for
	// judging the speed of a worker. All runs of a job share the error of its estimate.
	minSamples = 3
	minJobs    = 2
	// slowRatio is the ratio of a worker's slowdown to the median of all
	// workers above which the worker is slow.
	slowRatio = 2.5
	// minWorkers is the minimum number of workers for calculating a median.
	minWorkers = 3
)

// Sample describes one executing run.
type Sample struct {
	Worker string
	// Job is the job of the run.
	Job string
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
	slowdowns := map[string]float64{}
	var all []float64
	for worker, byJob := range slowdownsByJob(samples) {
		if slowdown, known := typicalSlowdown(byJob); known {
			slowdowns[worker] = slowdown
			all = append(all, slowdown)
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

// slowdownsByJob returns the known slowdowns by worker and job.
func slowdownsByJob(samples []Sample) map[string]map[string][]float64 {
	byWorker := map[string]map[string][]float64{}
	for i := range samples {
		sample := &samples[i]
		slowdown := sample.slowdown()
		if slowdown <= 0 {
			continue
		}
		if byWorker[sample.Worker] == nil {
			byWorker[sample.Worker] = map[string][]float64{}
		}
		byWorker[sample.Worker][sample.Job] = append(byWorker[sample.Worker][sample.Job], slowdown)
	}
	return byWorker
}

// typicalSlowdown returns the median over the jobs of a worker, of two the lower one, so
// that one job with a poor estimate does not decide. It is unknown with too few runs.
func typicalSlowdown(byJob map[string][]float64) (slowdown float64, known bool) {
	samples := 0
	jobs := make([]float64, 0, len(byJob))
	for _, list := range byJob {
		samples += len(list)
		jobs = append(jobs, median(list))
	}
	if samples < minSamples || len(jobs) < minJobs {
		return 0, false
	}
	slices.Sort(jobs)
	return jobs[(len(jobs)-1)/2], true
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
