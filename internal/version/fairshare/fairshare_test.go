package fairshare

import (
	"testing"

	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

func cores(n int64) workload.Resources { return workload.Resources{MilliCPU: n * 1000} }

// TestStartableTasksOfAQuota guards against an account that executes more than its quota, and against one that starts nothing though it may.
func TestStartableTasksOfAQuota(t *testing.T) {
	for _, c := range []struct {
		name             string
		limit, use, need workload.Resources
		tasks            int
		gang             bool
		wanted           int
	}{
		{name: "part of a group", limit: cores(8), use: cores(3), need: cores(2), tasks: 4, wanted: 2},
		{name: "no limit", use: cores(300), need: cores(2), tasks: 4, wanted: 4},
		{name: "no limit of CPU", limit: workload.Resources{GPU: 2}, use: workload.Resources{MilliCPU: 9000, GPU: 1}, need: workload.Resources{MilliCPU: 1000, GPU: 1}, tasks: 4, wanted: 1},
		{name: "full", limit: cores(8), use: cores(8), need: cores(1), tasks: 4},
		{name: "lowered limit", limit: cores(4), use: cores(8), need: workload.Resources{MemoryMB: 1}, tasks: 4},
		{name: "one larger task while idle", limit: cores(2), need: cores(3), tasks: 4, wanted: 1},
		{name: "larger task beside another", limit: cores(2), use: cores(1), need: cores(3), tasks: 4},
		{name: "gang that fits", limit: cores(8), use: cores(2), need: cores(2), tasks: 3, gang: true, wanted: 3},
		{name: "gang that fits in part", limit: cores(8), use: cores(3), need: cores(2), tasks: 3, gang: true},
		{name: "larger gang while idle", limit: cores(4), need: cores(2), tasks: 3, gang: true, wanted: 3},
	} {
		a := New([]catalog.Account{{Name: "a", Limit: c.limit}})
		a.Executes("a", c.use)
		if got := a.Startable("a", c.need, c.tasks, c.gang); got != c.wanted {
			t.Errorf("%s: %d of %d tasks may start, expected %d", c.name, got, c.tasks, c.wanted)
		}
	}
}

// TestWeightedShareOfAPool guards against shares that count accounts without work in the pool, or that ignore the scarcest resource.
func TestWeightedShareOfAPool(t *testing.T) {
	a := New([]catalog.Account{{Name: "a", Weight: 3}, {Name: "b"}, {Name: "elsewhere", Weight: 100}})
	a.HasCapacity("p", workload.Resources{MilliCPU: 8000, MemoryMB: 100})
	a.Occupies("elsewhere", "other", cores(1))
	a.Occupies("a", "p", workload.Resources{MilliCPU: 1000, MemoryMB: 75})
	a.Occupies("b", "p", workload.Resources{MilliCPU: 1000, MemoryMB: 25})
	if a.AboveShare("a", "p") || a.AboveShare("b", "p") {
		t.Error("an account with exactly its share is above it")
	}
	a.Starts("b", "p", cores(0), workload.Resources{MemoryMB: 1}, 1)
	if !a.AboveShare("b", "p") {
		t.Error("an account with 26 of 100 MB and a quarter of the weights is not above its share")
	}
}

// TestNoAccountIsDrainedInVain guards against tasks that wait for one that long-running tasks of the account keep from starting anyway.
func TestNoAccountIsDrainedInVain(t *testing.T) {
	for _, c := range []struct {
		lasting, need int64
		gang, wanted  bool
	}{{0, 6, false, true}, {0, 10, false, true}, {2, 6, false, true}, {3, 6, false, false}, {1, 10, false, false}, {2, 3, true, true}, {3, 3, true, false}, {0, 4, false, false}} {
		a := New([]catalog.Account{{Name: "a", Limit: cores(8)}})
		a.MayDrain = true
		a.Executes("a", cores(c.lasting))
		a.Lasts("a", cores(c.lasting))
		if got := a.MayDrainFor("a", cores(c.need), 2, c.gang); got != c.wanted {
			t.Errorf("%+v: drained %t", c, got)
		}
	}
}

// TestOneJobOfASmallAccountIsNotAboveItsShare guards against small accounts among many
// large ones whose second job waits for all others.
func TestOneJobOfASmallAccountIsNotAboveItsShare(t *testing.T) {
	a := New([]catalog.Account{{Name: "small", Weight: 1}, {Name: "large", Weight: 199}})
	a.HasCapacity("p", cores(1000))
	a.Occupies("large", "p", cores(500))
	a.Occupies("small", "p", cores(40))
	if a.AboveShare("small", "p") {
		t.Error("an account with a 25th of the pool is above its share")
	}
	a.Starts("small", "p", cores(1), cores(1), 1)
	if !a.AboveShare("small", "p") {
		t.Error("an account with more than a 25th of the pool and a 200th of the weights is not above its share")
	}
}
