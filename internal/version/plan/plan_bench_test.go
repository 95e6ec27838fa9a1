package plan_test

import (
	"fmt"
	"testing"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/plan/capacity"
	"arbutusward.example/arbutusward/internal/version/plan/moves"
	"arbutusward.example/arbutusward/internal/version/plan/wave"
	"arbutusward.example/arbutusward/internal/version/view"
)

// sizes lists the fleet sizes that the benchmarks measure.
var sizes = []struct{ workers, pools int }{{50, 5}, {200, 20}, {800, 80}, {2000, 217}}

// syntheticInput returns a fleet with four VMs a rack in seven zones, and a
// wave run over all pools. Each pool promises half of its slots.
func syntheticInput(workers, pools int) *plan.Input {
	const zones, rackVMs, slots = 7, 4, 8
	document := &fleet.Document{Weights: fleet.Weights{Buffer: 1, Rollout: 1, Moves: 1}}
	in := &plan.Input{NowMS: 1_000_000, Document: document, Zones: map[string]plan.ZoneStatus{}, BusySlots: map[string]float64{}}
	run := plan.WaveRun{ID: "w-1", Wave: "w", Status: plan.Running, Width: workers, VMs: map[string]plan.Progress{}}
	size := map[string]int{}
	for i := range workers {
		pool := fmt.Sprintf("pool-%03d", i%pools)
		name := fmt.Sprintf("vm-%04d", i)
		rack := i / rackVMs
		vm := view.VM{Name: name, Pool: pool, Zone: fmt.Sprintf("z%d", rack%zones), Rack: fmt.Sprintf("rack-%03d", rack), Epoch: 1, Phase: view.Serving, Slots: slots}
		in.VMs = append(in.VMs, plan.VM{VM: vm, Desired: pool, Health: plan.Up, LiveSinceMS: 1})
		run.VMs[name] = plan.Progress{State: plan.Pending}
		size[pool]++
	}
	var names []string
	for i := range pools {
		pool := fmt.Sprintf("pool-%03d", i)
		names = append(names, pool)
		document.Pools = append(document.Pools, fleet.Pool{Name: pool, Spare: i == 0, Tolerate: fleet.Tolerance{Racks: 1, VMs: 1}})
		document.Services = append(document.Services, fleet.Service{Name: pool, Pool: pool, Spill: i > 0, Budget: fleet.Budget{PromisedSlots: size[pool] * slots / 2}})
	}
	for i := range zones {
		in.Zones[fmt.Sprintf("z%d", i)] = plan.ZoneStatus{Entries: 2}
	}
	document.Waves = []fleet.Wave{{Name: "w", Pools: names, SettleS: 10, DrainS: 60}}
	in.Runs = []plan.WaveRun{run}
	return in
}

// BenchmarkStep plans the moves and the wave steps of one snapshot, as the
// executor does four times a second.
func BenchmarkStep(b *testing.B) {
	for _, size := range sizes {
		in := syntheticInput(size.workers, size.pools)
		b.Run(fmt.Sprintf("workers=%d/pools=%d", size.workers, size.pools), func(b *testing.B) {
			b.ReportAllocs()
			admitted := 0
			for b.Loop() {
				gate := plan.NewGate(in)
				moves.Plan(in, gate)
				admitted = len(wave.Plan(in, gate).Steps)
			}
			b.ReportMetric(float64(admitted), "VMs-taken")
		})
	}
}

// BenchmarkIdleStep plans a snapshot that needs no step, as the executor does
// once a second.
func BenchmarkIdleStep(b *testing.B) {
	for _, size := range sizes {
		in := syntheticInput(size.workers, size.pools)
		in.Runs = nil
		b.Run(fmt.Sprintf("workers=%d/pools=%d", size.workers, size.pools), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				gate := plan.NewGate(in)
				moves.Plan(in, gate)
				wave.Plan(in, gate)
			}
		})
	}
}

// BenchmarkReserve plans the reserve capacity, as the executor does twice a
// minute.
func BenchmarkReserve(b *testing.B) {
	for _, size := range sizes {
		in := syntheticInput(size.workers, size.pools)
		b.Run(fmt.Sprintf("workers=%d/pools=%d", size.workers, size.pools), func(b *testing.B) {
			b.ReportAllocs()
			var result capacity.Result
			for b.Loop() {
				result = capacity.Plan(in)
			}
			b.ReportMetric(float64(result.ReserveVMs), "reserve-VMs")
			b.ReportMetric(float64(result.LowerBoundVMs), "bound-VMs")
		})
	}
}
