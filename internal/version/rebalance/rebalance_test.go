package rebalance

import (
	"fmt"
	"testing"
	"time"
)

func vms(pool string, count, free int) []VM {
	var list []VM
	for i := range count {
		list = append(list, VM{ID: fmt.Sprintf("%s-%d", pool, i), Pool: pool, Serves: true, Free: i >= count-free})
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
	pools := []Pool{{Name: "a", Want: 6, Keep: 6}, {Name: "b", Want: 1, Keep: 1}, {Name: "off", Standby: true}}
	moves := Plan(pools, append(append(vms("a", 3, 0), vms("b", 4, 4)...), vms("off", 2, 2)...))
	if count(moves, "off", "a") != 2 || count(moves, "b", "a") != 1 {
		t.Errorf("moves %v", moves)
	}
}

func TestIdleVMsBeyondWhatIsKeptAreSwitchedOff(t *testing.T) {
	pools := []Pool{{Name: "a", Want: 1, Keep: 2}, {Name: "off", Standby: true}}
	if moves := Plan(pools, vms("a", 5, 5)); count(moves, "a", "off") != 3 || len(moves) != 3 {
		t.Errorf("moves %v", moves)
	}
}

func TestLearningPoolLendsButSwitchesNothingOff(t *testing.T) {
	pools := []Pool{{Name: "a", Want: 4, Keep: 4}, {Name: "b", Want: 1, Keep: 1, Learning: true}, {Name: "off", Standby: true}}
	moves := Plan(pools, append(vms("a", 2, 0), vms("b", 6, 6)...))
	if count(moves, "b", "a") != 2 || len(moves) != 2 {
		t.Errorf("moves %v, expected two to the pool that wants more", moves)
	}
}

func TestPoolLendsWhatItOnlyKeeps(t *testing.T) {
	pools := []Pool{{Name: "a", Want: 4, Keep: 4}, {Name: "b", Want: 1, Keep: 6}, {Name: "off", Standby: true}}
	if moves := Plan(pools, append(vms("a", 2, 0), vms("b", 6, 6)...)); count(moves, "b", "a") != 2 || len(moves) != 2 {
		t.Errorf("moves %v, expected two to the pool that wants more", moves)
	}
}

func TestBusyVMsStay(t *testing.T) {
	pools := []Pool{{Name: "a", Want: 9, Keep: 9}, {Name: "b", Want: 0, Keep: 0}, {Name: "off", Standby: true}}
	if moves := Plan(pools, append(vms("a", 2, 0), vms("b", 4, 1)...)); len(moves) != 1 {
		t.Errorf("moves %v, expected the one idle VM", moves)
	}
}

func TestPoolWithTheLargestLackIsServedFirst(t *testing.T) {
	pools := []Pool{{Name: "a", Want: 10, Keep: 10}, {Name: "b", Want: 2, Keep: 2}, {Name: "off", Standby: true}}
	moves := Plan(pools, append(vms("a", 8, 0), vms("off", 2, 2)...))
	if len(moves) != 2 || moves[0].To != "b" || moves[1].To != "b" {
		t.Errorf("moves %v", moves)
	}
}

// ramp records a load that rises by jobs of the given size, and returns the
// load at its end and what is expected.
func ramp(f *Forecast, start time.Time, jobs int, size Load) (load, expected Load) {
	gap := 2 * time.Second / time.Duration(jobs)
	f.Expect(start.Add(-time.Second), 0)
	for i := range jobs {
		now := start.Add(time.Duration(i) * gap)
		f.Arrive(now, size)
		load += size
		expected = f.Expect(now, load)
	}
	return load, expected
}

func TestForecastContinuesARiseOfManyJobs(t *testing.T) {
	var f Forecast
	load, expected := ramp(&f, time.Unix(1000, 0), 100, 0.1)
	if expected < load+5 || expected > load+15 {
		t.Errorf("expected %.1f VMs after a rise to %.1f in 2 s", expected, load)
	}
	if later := f.Expect(time.Unix(1010, 0), load); later != load {
		t.Errorf("expected %.1f VMs of a load that stays at %.1f", later, load)
	}
}

func TestFirstLoadIsNoRise(t *testing.T) {
	var f Forecast
	if expected := f.Expect(time.Unix(1000, 0), 20); expected != 20 {
		t.Errorf("expected %.1f VMs of a first load of 20", expected)
	}
}

func TestForecastDoesNotContinueOneLargeJob(t *testing.T) {
	var f Forecast
	now := time.Unix(1000, 0)
	f.Expect(now, 1)
	now = now.Add(2 * time.Second)
	f.Arrive(now, 8)
	if expected := f.Expect(now, 9); expected != 9 {
		t.Errorf("expected %.1f VMs after one job of 8", expected)
	}
}

func TestForecastKeepsAPeakForAWhile(t *testing.T) {
	var f Forecast
	start := time.Unix(1000, 0)
	f.Keep(start, 8)
	if kept := f.Keep(start.Add(keepTime/2), 2); kept != 8 {
		t.Errorf("kept %d soon after a peak of 8", kept)
	}
	if kept := f.Keep(start.Add(2*keepTime), 2); kept != 2 {
		t.Errorf("kept %d long after a peak", kept)
	}
}
