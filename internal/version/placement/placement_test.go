package placement

import (
	"fmt"
	"testing"

	"arbutusward.example/arbutusward/internal/version/workload"
)

func pool(cores ...int64) []*Worker {
	var list []*Worker
	for i, c := range cores {
		list = append(list, &Worker{ID: fmt.Sprint("w", i), Service: "s", Rack: fmt.Sprint("r", i/2), Free: workload.Resources{MilliCPU: c * 1000, MemoryMB: 1000}})
	}
	return list
}

func group(tasks int, cores int64) *Group {
	g := &Group{Job: "j", Total: tasks, Service: "s", Charge: workload.Resources{MilliCPU: cores * 1000, MemoryMB: 1}}
	for i := range tasks {
		g.Indexes = append(g.Indexes, i)
	}
	return g
}

func byWorker(plan []Placement) map[string]int {
	count := map[string]int{}
	for _, p := range plan {
		count[p.Worker]++
	}
	return count
}

func TestTasksFillTheFullestWorkerFirst(t *testing.T) {
	if got := byWorker(Plan([]*Group{group(2, 2)}, pool(8, 4))); got["w1"] != 2 {
		t.Errorf("placed %v, expected both on the worker with less room", got)
	}
}

func TestBoundOfTasksOnAWorkerCountsThoseThatExecute(t *testing.T) {
	g := group(4, 1)
	g.MaxPerWorker = 2
	g.OnWorker = map[string]int{"w0": 1}
	got := byWorker(Plan([]*Group{g}, pool(8, 8)))
	if got["w0"] != 1 || got["w1"] != 2 {
		t.Errorf("placed %v", got)
	}
}

func TestLabelAndServiceAreNeeded(t *testing.T) {
	workers := pool(8, 8, 8)
	workers[1].Labels = []string{"big"}
	workers[2].Labels = []string{"big"}
	workers[2].Service = "other"
	g := group(2, 1)
	g.Label = "big"
	if got := byWorker(Plan([]*Group{g}, workers)); got["w1"] != 2 || len(got) != 1 {
		t.Errorf("placed %v", got)
	}
}

func TestDataRackIsPreferred(t *testing.T) {
	g := group(2, 1)
	g.DataRack = "r1"
	if got := byWorker(Plan([]*Group{g}, pool(2, 2, 8, 8))); got["w2"]+got["w3"] != 2 {
		t.Errorf("placed %v", got)
	}
}

func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	g := group(5, 2)
	g.Gang = true
	workers := pool(4, 4)
	if plan := Plan([]*Group{g}, workers); len(plan) > 0 {
		t.Errorf("placed %d of 5 members", len(plan))
	}
	if workers[0].Free.MilliCPU != 4000 || workers[1].Free.MilliCPU != 4000 {
		t.Error("a gang that was not placed holds room")
	}
	if plan := Plan([]*Group{g}, pool(8, 8)); len(plan) != 5 {
		t.Errorf("placed %d of 5 members", len(plan))
	}
	g.Indexes = g.Indexes[1:]
	if plan := Plan([]*Group{g}, pool(8, 8)); len(plan) > 0 {
		t.Errorf("placed %d members while another executes", len(plan))
	}
}

func TestTasksOfOneRackStayTogether(t *testing.T) {
	g := group(4, 2)
	g.SameRack = true
	got := byWorker(Plan([]*Group{g}, pool(2, 2, 8, 8)))
	if got["w2"]+got["w3"] != 4 {
		t.Errorf("placed %v", got)
	}
}

func TestUrgentGroupsGoFirst(t *testing.T) {
	late, soon, low := group(1, 4), group(1, 4), group(1, 4)
	late.Job, late.Rank = "late", 5
	soon.Job, soon.Rank = "soon", 1
	low.Job, low.Rank, low.Priority = "low", 0, 1
	plan := Plan([]*Group{low, late, soon}, pool(8))
	if len(plan) != 2 || plan[0].Group != soon || plan[1].Group != late {
		t.Errorf("placed %d groups, first %s", len(plan), plan[0].Group.Job)
	}
}

func TestLongRunningTasksAvoidWorkersThatLeave(t *testing.T) {
	workers := pool(4, 8)
	workers[0].Leaving = true
	g := group(1, 1)
	g.Lasting = true
	if got := byWorker(Plan([]*Group{g}, workers)); got["w1"] != 1 {
		t.Errorf("placed %v", got)
	}
}

func TestSuspectWorkersAreFilledLast(t *testing.T) {
	workers := pool(2, 8)
	workers[0].Avoid = 1
	if got := byWorker(Plan([]*Group{group(1, 1)}, workers)); got["w1"] != 1 {
		t.Errorf("placed %v", got)
	}
}
