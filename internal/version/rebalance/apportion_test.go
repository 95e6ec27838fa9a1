package rebalance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// demanding returns a pool whose desired number of VMs follows from its load by level.
func demanding(name string, least int, demand Demand) Pool {
	desired := max(least, int(demand.Total()+0.999))
	return Pool{Name: name, Demand: demand, Least: least, Desired: desired, Retain: desired, ForLoad: desired}
}

func TestVMsOfAShortFleetAreApportioned(t *testing.T) {
	tests := map[string]struct {
		pools []Pool
		vms   int
		want  []int
		// yields names the pools that yield.
		yields []string
	}{
		"the fleet suffices": {
			[]Pool{demanding("a", 2, Demand{Useless: 60}), demanding("b", 2, Demand{InTime: 40})}, 100, []int{60, 40}, nil,
		},
		"useful load beyond the fleet": {
			[]Pool{demanding("a", 2, Demand{InTime: 300}), demanding("b", 2, Demand{InTime: 100})}, 100, []int{75, 25}, []string{"a", "b"},
		},
		"late load weighs half": {
			[]Pool{demanding("a", 2, Demand{Late: 200}), demanding("b", 2, Demand{InTime: 200})}, 90, []int{30, 60}, []string{"a", "b"},
		},
		"load over rate gets only the rest": {
			[]Pool{demanding("a", 2, Demand{InTime: 10, OverRate: 300}), demanding("b", 2, Demand{InTime: 70})}, 100, []int{30, 70}, []string{"a"},
		},
		"useless load comes after load over rate": {
			[]Pool{demanding("a", 2, Demand{Useless: 300}), demanding("b", 2, Demand{OverRate: 70})}, 100, []int{30, 70}, []string{"a"},
		},
		"a satisfied pool leaves the rest": {
			[]Pool{demanding("a", 2, Demand{InTime: 50}), demanding("b", 2, Demand{Late: 80})}, 100, []int{50, 50}, []string{"b"},
		},
		"a pool with enough for a part of a VM does not yield": {
			[]Pool{demanding("a", 2, Demand{InTime: 10.3}), demanding("b", 2, Demand{Useless: 100})}, 50, []int{11, 39}, []string{"b"},
		},
		"the least number of a pool is taken from the parts of others": {
			[]Pool{demanding("a", 2, Demand{InTime: 20}), demanding("b", 2, Demand{InTime: 20}), demanding("c", 10, Demand{InTime: 1})}, 20, []int{5, 5, 10}, []string{"a", "b"},
		},
		"more is needed at least than there is": {
			[]Pool{demanding("a", 4, Demand{InTime: 20}), demanding("b", 4, Demand{})}, 3, []int{4, 4}, []string{"a"},
		},
		"no VM and no load": {
			[]Pool{demanding("a", 2, Demand{}), {Name: "off", Standby: true}}, 0, []int{2, 0}, nil,
		},
		"a negative load counts as none": {
			[]Pool{{Name: "a", Demand: Demand{InTime: -5, OverRate: 100}, Least: 2, Desired: 95}, demanding("b", 2, Demand{InTime: 50})}, 60, []int{10, 50}, []string{"a"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			Apportion(test.pools, test.vms)
			var got []int
			var yields []string
			for _, p := range test.pools {
				got = append(got, p.Desired)
				if p.Yields {
					yields = append(yields, p.Name)
				}
			}
			if !slices.Equal(got, test.want) || !slices.Equal(yields, test.yields) {
				t.Errorf("VMs %v, yielding %v, expected %v and %v", got, yields, test.want, test.yields)
			}
		})
	}
}

// The idle VMs of two pools that are both short must not change sides each time that their
// parts change by a VM: a VM that moves serves nobody for 1.5 s and more.
func TestTwoShortPoolsDoNotExchangeIdleVMs(t *testing.T) {
	all := append(vms("a", 50, 5), vms("b", 50, 5)...)
	moved := 0
	for round := range 20 {
		a := Load(200 + 6*(round%2))
		pools := []Pool{demanding("a", 2, Demand{InTime: a}), demanding("b", 2, Demand{InTime: 406 - a})}
		Apportion(pools, len(all))
		for _, m := range Plan(pools, all) {
			moved++
			all[slices.IndexFunc(all, func(vm VM) bool { return vm.ID == m.VM })].Pool = m.To
		}
	}
	if moved > 0 {
		t.Errorf("%d moves in 20 plans", moved)
	}
}

func TestYieldingPoolDrainsFullVMsDownToItsPartAndAMargin(t *testing.T) {
	pools := []Pool{{Name: "a", Desired: 30}, {Name: "b", Desired: 10, Yields: true}}
	full := loaded("b", make([]float64, 20)...)
	for i := range full {
		full[i].Load, full[i].IdleIn = 1, time.Duration(20-i)*time.Second
	}
	got := SelectDrains(pools, append(vms("a", 3, 0), full...), nil)
	var soonest []string
	for i := range 9 {
		soonest = append(soonest, fmt.Sprint("b-", 19-i))
	}
	if !slices.Equal(got, soonest) {
		t.Errorf("selected %v, expected %v, those that are idle soonest", got, soonest)
	}
	if got := SelectDrains(pools, append(vms("a", 3, 0), full[:11]...), nil); len(got) > 0 {
		t.Errorf("selected %v within the margin", got)
	}
}

func TestYieldingPoolDrainsNoLongRunningTasksWithoutRoom(t *testing.T) {
	pools := []Pool{{Name: "a", Desired: 30}, {Name: "b", Desired: 2, Yields: true}}
	full := loaded("b", 1, 1, 1, 1, 1, 1)
	for i := range full {
		full[i].LongRunning = i > 0
	}
	if got := SelectDrains(pools, append(vms("a", 3, 0), full...), nil); !slices.Equal(got, []string{"b-0"}) {
		t.Errorf("selected %v", got)
	}
}
