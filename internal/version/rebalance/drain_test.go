package rebalance

import (
	"slices"
	"testing"
)

func loaded(pool string, loads ...float64) []VM {
	list := vms(pool, len(loads), 0)
	for i := range list {
		list[i].Load = loads[i]
		list[i].Drainable = true
	}
	return list
}

func TestLeastLoadedVMsOfAPoolWithASurplusAreDrained(t *testing.T) {
	pools := []Pool{{Name: "a", Desired: 5, Retain: 5}, {Name: "b", Desired: 2, Retain: 6}}
	all := append(vms("a", 3, 0), loaded("b", 0.5, 0.1, 0.3, 0.2)...)
	got := SelectDrains(pools, all, nil)
	slices.Sort(got)
	if !slices.Equal(got, []string{"b-1", "b-3"}) {
		t.Errorf("selected %v", got)
	}
}

func TestNothingIsDrainedWithoutShortfallOrFreeCapacity(t *testing.T) {
	enough := []Pool{{Name: "a", Desired: 3, Retain: 3}, {Name: "b", Desired: 2, Retain: 6}}
	if got := SelectDrains(enough, append(vms("a", 3, 0), loaded("b", 0.1, 0.1, 0.1)...), nil); len(got) > 0 {
		t.Errorf("selected %v though no pool is short of VMs", got)
	}
	short := []Pool{{Name: "a", Desired: 9, Retain: 9}, {Name: "b", Desired: 1, Retain: 6}}
	if got := SelectDrains(short, append(vms("a", 3, 0), loaded("b", 0.9, 0.9, 0.9)...), nil); len(got) > 0 {
		t.Errorf("selected %v though the others have no free capacity", got)
	}
	pinned := loaded("b", 0.1, 0.1, 0.1)
	for i := range pinned {
		pinned[i].Drainable = false
	}
	if got := SelectDrains(short, append(vms("a", 3, 0), pinned...), nil); len(got) > 0 {
		t.Errorf("selected %v though their tasks must stay", got)
	}
}

func TestVMsWithLongRunningTasksAreDrainedOneAtATime(t *testing.T) {
	pools := []Pool{{Name: "a", Desired: 9, Retain: 9}, {Name: "b", Desired: 1, Retain: 6}}
	longRunning := loaded("b", 0.1, 0.2, 0.1, 0.3)
	for i := range longRunning {
		longRunning[i].LongRunning = i < 3
	}
	got := SelectDrains(pools, append(vms("a", 3, 0), longRunning...), nil)
	if !slices.Equal(got, []string{"b-3", "b-0"}) {
		t.Errorf("selected %v, expected the one without and one with long-running tasks", got)
	}
}

func TestPlannedMovesMakeDrainsUnnecessary(t *testing.T) {
	pools := []Pool{{Name: "a", Desired: 4, Retain: 4}, {Name: "b", Desired: 1, Retain: 1}, {Name: "off", Standby: true}}
	all := append(append(vms("a", 3, 0), loaded("b", 0.1, 0.1, 0.1)...), vms("off", 1, 1)...)
	if got := SelectDrains(pools, all, Plan(pools, all)); len(got) > 0 {
		t.Errorf("selected %v", got)
	}
}
