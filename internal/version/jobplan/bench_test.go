package jobplan

import (
	"fmt"
	"testing"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// benchInput returns the given number of workers with two running jobs each,
// and a queue of one job per worker, spread over the teams.
func benchInput(workers, teams int) *Input {
	input := &Input{NowMS: 1_000_000, Quotas: map[string]fleet.Resources{}}
	for i := range teams {
		input.Quotas[fmt.Sprintf("team-%d", i)] = fleet.Resources{CPUCores: 1e6, MemoryGiB: 1e6, Accelerators: 1e6}
	}
	for i := range workers {
		name := fmt.Sprintf("w-%d", i)
		input.Workers = append(input.Workers, Worker{Name: name, Pool: "p", Schedulable: true, Capacity: fleet.Resources{CPUCores: 64, MemoryGiB: 256, Accelerators: 2}})
		for k := range 3 {
			job := Job{ID: fmt.Sprintf("j-%d-%d", i, k), Team: fmt.Sprintf("team-%d", i%teams), Kind: "k", Declared: fleet.Resources{CPUCores: 8, MemoryGiB: 16}, Phase: Queued, SubmittedMS: int64(i)}
			if k < 2 {
				job.Phase, job.Worker, job.Reserved = Running, name, job.Declared
			}
			input.Jobs = append(input.Jobs, job)
		}
	}
	return input
}

// BenchmarkNewPlan measures one plan by the number of workers.
func BenchmarkNewPlan(b *testing.B) {
	for _, workers := range []int{50, 200, 800, 2000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			input := benchInput(workers, min(workers, 190))
			b.ReportAllocs()
			for b.Loop() {
				NewPlan(input)
			}
		})
	}
}
