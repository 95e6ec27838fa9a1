package rebalance

import (
	"slices"
	"testing"
)

func loaded(pool string, loads ...float64) []VM {
	list := vms(pool, len(loads), 0)
	for i := range list {
		list[i].Load = loads[i]
		list[i].Vacatable = true
	}
	return list
}

func TestLeastLoadedVMsOfAPoolWithTooManyAreVacated(t *testing.T) {
	pools := []Pool{{Name: "a", Want: 5, Keep: 5}, {Name: "b", Want: 2, Keep: 6}}
	all := append(vms("a", 3, 0), loaded("b", 0.5, 0.1, 0.3, 0.2)...)
	got := Vacate(pools, all, nil)
	slices.Sort(got)
	if !slices.Equal(got, []string{"b-1", "b-3"}) {
		t.Errorf("vacated %v", got)
	}
}

func TestNothingIsVacatedWithoutNeedOrRoom(t *testing.T) {
	enough := []Pool{{Name: "a", Want: 3, Keep: 3}, {Name: "b", Want: 2, Keep: 6}}
	if got := Vacate(enough, append(vms("a", 3, 0), loaded("b", 0.1, 0.1, 0.1)...), nil); len(got) > 0 {
		t.Errorf("vacated %v though no pool lacks VMs", got)
	}
	lacking := []Pool{{Name: "a", Want: 9, Keep: 9}, {Name: "b", Want: 1, Keep: 6}}
	if got := Vacate(lacking, append(vms("a", 3, 0), loaded("b", 0.9, 0.9, 0.9)...), nil); len(got) > 0 {
		t.Errorf("vacated %v though the others have no room", got)
	}
	pinned := loaded("b", 0.1, 0.1, 0.1)
	for i := range pinned {
		pinned[i].Vacatable = false
	}
	if got := Vacate(lacking, append(vms("a", 3, 0), pinned...), nil); len(got) > 0 {
		t.Errorf("vacated %v though tasks must stay", got)
	}
}

func TestOneVMWithLongRunningTasksIsVacatedAtATime(t *testing.T) {
	pools := []Pool{{Name: "a", Want: 9, Keep: 9}, {Name: "b", Want: 1, Keep: 6}}
	lasting := loaded("b", 0.1, 0.2, 0.1, 0.3)
	for i := range lasting {
		lasting[i].Lasting = i < 3
	}
	got := Vacate(pools, append(vms("a", 3, 0), lasting...), nil)
	if !slices.Equal(got, []string{"b-3", "b-0"}) {
		t.Errorf("vacated %v, expected the one without and one with long-running tasks", got)
	}
}

func TestMovesThatAreUnderWayNeedNoVacating(t *testing.T) {
	pools := []Pool{{Name: "a", Want: 4, Keep: 4}, {Name: "b", Want: 1, Keep: 1}, {Name: "off", Standby: true}}
	all := append(append(vms("a", 3, 0), loaded("b", 0.1, 0.1, 0.1)...), vms("off", 1, 1)...)
	if got := Vacate(pools, all, Plan(pools, all)); len(got) > 0 {
		t.Errorf("vacated %v", got)
	}
}
