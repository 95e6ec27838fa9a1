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

func TestForecastContinuesARise(t *testing.T) {
	var f Forecast
	start := time.Unix(1000, 0)
	for i := range 40 {
		f.Arrive(start.Add(time.Duration(i)*50*time.Millisecond), 0.05*Load(1+i/20))
	}
	now := start.Add(2 * time.Second)
	if rate := f.Rate(now); rate < 2.5 || rate > 6 {
		t.Errorf("rate %.2f after a rise from 1 to 2 VMs a second", rate)
	}
	if rate := f.Rate(now.Add(5 * time.Second)); rate != 0 {
		t.Errorf("rate %.2f after 5 s without arrivals", rate)
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
