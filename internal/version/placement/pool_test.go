package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestPlacementByFreeCapacityChoosesTheSameWorkers compares the sorted search for
// a best fit with a look at every worker.
func TestPlacementByFreeCapacityChoosesTheSameWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sorted, scanned := &pool{}, &pool{}
		ordered := rapid.Bool().Draw(t, "ordered")
		for i := range rapid.IntRange(0, 12).Draw(t, "workers") {
			free := workload.Resources{MilliCPU: rapid.Int64Range(-1, 6).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(0, 6).Draw(t, "mem")}
			id := fmt.Sprintf("w%02d", i)
			if !ordered {
				id = fmt.Sprint("w", i*7%12)
			}
			sorted.add(&Worker{ID: id, Free: free})
			scanned.add(&Worker{ID: id, Free: free})
		}
		for n := range rapid.IntRange(1, 8).Draw(t, "groups") {
			g := &Group{Job: fmt.Sprint(n), Charge: workload.Resources{MilliCPU: rapid.Int64Range(0, 4).Draw(t, "charge"), MemoryMB: rapid.Int64Range(0, 3).Draw(t, "memory")}}
			for i := range rapid.IntRange(1, 6).Draw(t, "tasks") {
				g.Indexes = append(g.Indexes, i)
			}
			g.LongRunning = rapid.Bool().Draw(t, "long")
			got, want := sorted.place(g), scanned.placeByScan(g)
			if fmt.Sprint(workerIDs(got)) != fmt.Sprint(workerIDs(want)) {
				t.Fatalf("group %d: placed on %v, by scan on %v", n, workerIDs(got), workerIDs(want))
			}
		}
	})
}

func workerIDs(plan []Placement) []string {
	var workers []string
	for _, p := range plan {
		workers = append(workers, p.Worker)
	}
	return workers
}
