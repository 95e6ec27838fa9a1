package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/version/workload"
)

const (
	simulatedZones = 3
	// simulatedLease is how long a task stays with a worker that was cut off.
	simulatedLease = 4 * time.Second
)

func zoneOfSimulated(number int) string { return fmt.Sprint("z", number%simulatedZones) }

// runWithCut simulates the burst with the loss of the first zone at a time. It
// returns the share of the callers with executing tasks at that time that got their
// result in time.
func (sim *simulation) runWithCut(cutAt time.Duration, lost map[*Worker]bool) float64 {
	byID := map[string]*Worker{}
	for _, w := range sim.workers {
		byID[w.ID] = w
	}
	var running, stranded []simulatedRun
	inFlight := map[*simulatedJob]bool{}
	for at := time.Duration(0); at < 30*time.Second; at += simulationTick {
		now := time.Unix(0, 0).Add(at)
		running = finish(running, now)
		switch at {
		case cutAt:
			running, stranded = sim.cut(running, lost)
			for _, run := range slices.Concat(running, stranded) {
				inFlight[run.job] = true
			}
		case cutAt + simulatedLease:
			for _, run := range stranded {
				run.job.unplaced = append(run.job.unplaced, run.index)
			}
		}
		running = append(running, sim.start(now, byID, byRank)...)
	}
	inTime := 0
	for job := range inFlight {
		if job.inTime() {
			inTime++
		}
	}
	return float64(inTime) / float64(len(inFlight))
}

// cut removes workers and separates the runs on them from the others.
func (sim *simulation) cut(running []simulatedRun, lost map[*Worker]bool) (kept, stranded []simulatedRun) {
	sim.workers = slices.DeleteFunc(slices.Clone(sim.workers), func(w *Worker) bool { return lost[w] })
	for _, run := range running {
		if lost[run.worker] {
			stranded = append(stranded, run)
		} else {
			kept = append(kept, run)
		}
	}
	return kept, stranded
}

// inTimeAfterCut returns the mean of runWithCut over several seeds and cut zones.
func inTimeAfterCut(workers int, peak float64, zonesKnown bool) float64 {
	sum, runs := 0.0, 0
	for seed := range uint64(4) {
		for cut := range simulatedZones {
			sim := newBurst(seed, workers, peak)
			lost := map[*Worker]bool{}
			for i, w := range sim.workers {
				lost[w] = i%simulatedZones == cut
				if zonesKnown {
					w.Zone = zoneOfSimulated(i)
				}
			}
			sum += sim.runWithCut(4*time.Second, lost)
			runs++
		}
	}
	return sum / float64(runs)
}

func TestLossOfAZoneHoldsUpFewerCallersIfStepsStayInOneZone(t *testing.T) {
	for _, load := range []struct {
		workers int
		peak    float64
		// gain is the minimum increase of the share of callers served in time.
		gain float64
	}{{15, 15, 0.15}, {15, 30, 0.1}, {30, 30, 0.15}} {
		spread, together := inTimeAfterCut(load.workers, load.peak, false), inTimeAfterCut(load.workers, load.peak, true)
		t.Logf("%d workers, %.0f jobs a second: in time %.2f spread over zones, %.2f in one zone", load.workers, load.peak, spread, together)
		if together < spread+load.gain {
			t.Errorf("%d workers, %.0f jobs a second: in time %.2f in one zone, %.2f spread", load.workers, load.peak, together, spread)
		}
	}
}

func TestZonesDoNotCostCallersOfABurst(t *testing.T) {
	for _, peak := range []float64{25, 45} {
		without, with := meanInTime(9, peak, byRank), 0.0
		const seeds = 5
		for seed := range uint64(seeds) {
			sim := newBurst(seed, 9, peak)
			for i, w := range sim.workers {
				w.Zone = zoneOfSimulated(i)
			}
			with += sim.run(byRank) / seeds
		}
		t.Logf("%.0f jobs a second: in time %.3f without zones, %.3f with zones", peak, without, with)
		if with < without-0.02 {
			t.Errorf("%.0f jobs a second: in time %.3f with zones, %.3f without", peak, with, without)
		}
	}
}

// zonedWorkers returns workers with free cores in two zones by turns.
func zonedWorkers(cores ...int64) []*Worker {
	workers := workersOf(cores...)
	for i, w := range workers {
		w.Zone = fmt.Sprint("z", i%2)
	}
	return workers
}

func TestStepIsPlacedInOneZoneWithRoomForIt(t *testing.T) {
	got := tasksByWorker(Plan([]*Group{group(4, 2)}, zonedWorkers(2, 4, 3, 4)))
	if got["w1"] != 2 || got["w3"] != 2 {
		t.Errorf("placed %v, expected all tasks in the second zone", got)
	}
}

func TestStepTooLargeForAZoneIsPlacedWhole(t *testing.T) {
	got := tasksByWorker(Plan([]*Group{group(5, 2)}, zonedWorkers(2, 4, 2, 4)))
	if got["w1"] != 2 || got["w3"] != 2 || got["w0"]+got["w2"] != 1 {
		t.Errorf("placed %v", got)
	}
}

func TestRestOfAStepJoinsItsExecutingTasks(t *testing.T) {
	g := group(2, 2)
	g.Total, g.Zone = 4, "z1"
	got := tasksByWorker(Plan([]*Group{g}, zonedWorkers(4, 6)))
	if got["w1"] != 2 {
		t.Errorf("placed %v, expected both tasks in the zone of the others", got)
	}
}

func TestFittingIsBoundByEachResource(t *testing.T) {
	free := workload.Resources{MilliCPU: 4000, MemoryMB: 300, GPU: 2}
	for charge, want := range map[workload.Resources]int{
		{MilliCPU: 1000}:                4,
		{MilliCPU: 1000, MemoryMB: 100}: 3,
		{MilliCPU: 1000, GPU: 1}:        2,
		{MilliCPU: 5000}:                0,
		{}:                              8,
	} {
		if got := fitting(free, charge, 8); got != want {
			t.Errorf("%v fits %d times, expected %d", charge, got, want)
		}
	}
}
