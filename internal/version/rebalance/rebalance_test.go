package rebalance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func vms(pool string, count, free int) []VM {
	var list []VM
	for i := range count {
		list = append(list, VM{ID: fmt.Sprintf("%s-%d", pool, i), Pool: pool, Serving: true, Movable: i >= count-free})
	}
	return list
}

func count(moves []Move, from, to string) int {
	n := 0
	for _, m := range moves {
		if m.From == from && m.To == to {
			n++
		}
	}
	return n
}

func TestShortPoolGetsStandbyVMsFirst(t *testing.T) {
	pools := []Pool{{Name: "a", Desired: 6, Retain: 6}, {Name: "b", Desired: 1, Retain: 1}, {Name: "off", Standby: true}}
	moves := Plan(pools, append(append(vms("a", 3, 0), vms("b", 4, 4)...), vms("off", 2, 2)...))
	if count(moves, "off", "a") != 2 || count(moves, "b", "a") != 1 {
		t.Errorf("moves %v", moves)
	}
}

func TestIdleVMsBeyondRetainedOnesArePoweredOff(t *testing.T) {
	pools := []Pool{{Name: "a", Desired: 1, Retain: 2}, {Name: "off", Standby: true}}
	if moves := Plan(pools, vms("a", 5, 5)); count(moves, "a", "off") != 3 || len(moves) != 3 {
		t.Errorf("moves %v", moves)
	}
}

func TestWarmingUpPoolLendsButPowersNothingOff(t *testing.T) {
	pools := []Pool{{Name: "a", Desired: 4, Retain: 4}, {Name: "b", Desired: 1, Retain: 1, WarmingUp: true}, {Name: "off", Standby: true}}
	moves := Plan(pools, append(vms("a", 2, 0), vms("b", 6, 6)...))
	if count(moves, "b", "a") != 2 || len(moves) != 2 {
		t.Errorf("moves %v, expected two to the pool that is short of VMs", moves)
	}
}

func TestPoolLendsVMsThatItOnlyRetains(t *testing.T) {
	pools := []Pool{{Name: "a", Desired: 4, Retain: 4}, {Name: "b", Desired: 1, Retain: 6}, {Name: "off", Standby: true}}
	if moves := Plan(pools, append(vms("a", 2, 0), vms("b", 6, 6)...)); count(moves, "b", "a") != 2 || len(moves) != 2 {
		t.Errorf("moves %v, expected two to the pool that is short of VMs", moves)
	}
}

func TestBusyVMsAreNotMoved(t *testing.T) {
	pools := []Pool{{Name: "a", Desired: 9, Retain: 9}, {Name: "b", Desired: 0, Retain: 0}, {Name: "off", Standby: true}}
	if moves := Plan(pools, append(vms("a", 2, 0), vms("b", 4, 1)...)); len(moves) != 1 {
		t.Errorf("moves %v, expected the one idle VM", moves)
	}
}

func TestPoolWithTheLargestShortfallIsServedFirst(t *testing.T) {
	pools := []Pool{{Name: "a", Desired: 10, Retain: 10}, {Name: "b", Desired: 2, Retain: 2}, {Name: "off", Standby: true}}
	moves := Plan(pools, append(vms("a", 8, 0), vms("off", 2, 2)...))
	if len(moves) != 2 || moves[0].To != "b" || moves[1].To != "b" {
		t.Errorf("moves %v", moves)
	}
}

// ramp records a load that rises within 2 s by arrivals of jobs of the given
// size. It returns the final load and the predicted one.
func ramp(f *Forecast, start time.Time, jobs int, size Load) (load, predicted Load) {
	gap := 2 * time.Second / time.Duration(jobs)
	f.Predict(start.Add(-time.Second), 0)
	for i := range jobs {
		now := start.Add(time.Duration(i) * gap)
		f.AddArrival(now, size)
		load += size
		predicted = f.Predict(now, load)
	}
	return load, predicted
}

func TestForecastContinuesARiseOfManyJobs(t *testing.T) {
	var f Forecast
	load, predicted := ramp(&f, time.Unix(1000, 0), 100, 0.1)
	if predicted < load+5 || predicted > load+15 {
		t.Errorf("predicted %.1f VMs after a rise to %.1f in 2 s", predicted, load)
	}
	if later := f.Predict(time.Unix(1010, 0), load); later != load {
		t.Errorf("predicted %.1f VMs for a load that stays at %.1f", later, load)
	}
}

func TestFirstLoadIsNotARise(t *testing.T) {
	var f Forecast
	if predicted := f.Predict(time.Unix(1000, 0), 20); predicted != 20 {
		t.Errorf("predicted %.1f VMs for a first load of 20", predicted)
	}
}

// A new leader counts the jobs that arrive before it may order VMs.
func TestFirstLoadAfterArrivalsIsNotARise(t *testing.T) {
	var f Forecast
	start := time.Unix(1000, 0)
	for i := range 30 {
		f.AddArrival(start.Add(time.Duration(i)*20*time.Millisecond), 0.1)
	}
	if predicted := f.Predict(start.Add(600*time.Millisecond), 20); predicted != 20 {
		t.Errorf("predicted %.1f VMs for a first load of 20", predicted)
	}
}

func TestNewLeaderLendsTheIdleVMsOfAPoolWithASteadyLoad(t *testing.T) {
	var f Forecast
	start := time.Unix(1000, 0)
	for i := range 3 {
		f.AddArrival(start.Add(time.Duration(i)*200*time.Millisecond), 1)
	}
	now := start.Add(700 * time.Millisecond)
	desired := int(f.Predict(now, 20))
	pools := []Pool{{Name: "a", Desired: desired, Retain: f.RecentPeak(now, desired)}, {Name: "b", Desired: 15, Retain: 15}}
	if moves := Plan(pools, append(vms("a", 30, 10), vms("b", 5, 0)...)); len(moves) != 10 {
		t.Errorf("moves %v, expected the ten idle VMs", moves)
	}
}

func TestForecastDoesNotContinueOneLargeJob(t *testing.T) {
	var f Forecast
	now := time.Unix(1000, 0)
	f.Predict(now, 1)
	now = now.Add(2 * time.Second)
	f.AddArrival(now, 8)
	if predicted := f.Predict(now, 9); predicted != 9 {
		t.Errorf("predicted %.1f VMs after one job of 8", predicted)
	}
}

func TestRecentPeakIsRetainedForAWhile(t *testing.T) {
	var f Forecast
	start := time.Unix(1000, 0)
	f.RecentPeak(start, 8)
	if recent := f.RecentPeak(start.Add(peakRetention/2), 2); recent != 8 {
		t.Errorf("recent peak %d soon after a peak of 8", recent)
	}
	if recent := f.RecentPeak(start.Add(2*peakRetention), 2); recent != 2 {
		t.Errorf("recent peak %d long after a peak", recent)
	}
}

// TestPlanDoesNotDependOnTheOrderOfTheVMs guards against two plans in a row that choose other VMs of a pool, as the VMs come from a map.
func TestPlanDoesNotDependOnTheOrderOfTheVMs(t *testing.T) {
	pools := []Pool{{Name: "a", Desired: 4, Retain: 4}, {Name: "b", Desired: 1, Retain: 2}, {Name: "off", Standby: true}}
	all := append(vms("a", 2, 0), vms("b", 6, 6)...)
	moves := Plan(pools, all)
	slices.Reverse(all)
	if again := Plan(pools, all); !slices.Equal(moves, again) || len(moves) != 4 {
		t.Errorf("moves %v, with the VMs in another order %v", moves, again)
	}
}
