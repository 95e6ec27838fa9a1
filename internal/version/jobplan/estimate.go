package jobplan

import (
	"math"
	"sort"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

const (
	// MaxObservations is the number of finished jobs of a kind whose use is
	// kept.
	MaxObservations = 64
	// minObservations is the number of observations from which the estimate
	// replaces the declared size.
	minObservations = 5
	// sizeQuantile is the quantile of the observed peak use that is reserved
	// for a job.
	sizeQuantile = 0.9
	// headroom is the factor that is applied to the quantile.
	headroom = 1.1
)

// Estimate returns the expected use of a job: a quantile of the observed use
// of its kind, or the declared size while there are too few observations.
// Accelerators are not estimated, since they are allocated whole: the declared
// number is used.
func Estimate(job *Job, observed []Observation) fleet.Resources {
	if len(observed) < minObservations {
		return job.Declared
	}
	cpu := make([]float64, 0, len(observed))
	memory := make([]float64, 0, len(observed))
	for _, o := range observed {
		cpu = append(cpu, o.Used.CPUCores)
		memory = append(memory, o.Used.MemoryGiB)
	}
	return fleet.Resources{
		CPUCores:     quantile(cpu, sizeQuantile) * headroom,
		MemoryGiB:    quantile(memory, sizeQuantile) * headroom,
		Accelerators: job.Declared.Accelerators,
	}
}

// quantile returns the nearest-rank quantile of the values, which it sorts.
func quantile(values []float64, q float64) float64 {
	sort.Float64s(values)
	rank := int(math.Ceil(q*float64(len(values)))) - 1
	return values[max(rank, 0)]
}
