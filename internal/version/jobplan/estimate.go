package jobplan

import (
	"math"
	"sort"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

const (
	// MaxObservations is how many finished jobs of a kind are remembered.
	MaxObservations = 64
	// minObservations is how many are needed before they outweigh the
	// declared size.
	minObservations = 5
	// sizeQuantile is the quantile of observed peaks that a job is charged for.
	sizeQuantile = 0.9
	// headroom is the factor on top of the quantile.
	headroom = 1.1
)

// Estimate returns what a job will use: a quantile of what its kind was
// observed to use, or the declared size while too little was observed.
// Accelerators are never estimated: they are whole and are given as declared.
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
