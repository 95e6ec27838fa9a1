package placement

import (
	"testing"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// suspectWorkers returns workers with their whole capacity set and free.
func suspectWorkers(count int) []*Worker {
	var cores []int64
	for range count {
		cores = append(cores, 8)
	}
	workers := workersOf(cores...)
	for i, w := range workers {
		w.Capacity, w.Incarnation = w.Free, int64(i)
	}
	return workers
}

func suspectGroup(job string, tasks int) *Group {
	g := group(tasks, 1)
	g.Job, g.Suspect = job, true
	return g
}

func jobsByWorker(plan []Placement) map[string]map[string]int {
	jobs := map[string]map[string]int{}
	for _, p := range plan {
		if jobs[p.Worker] == nil {
			jobs[p.Worker] = map[string]int{}
		}
		jobs[p.Worker][p.Group.Job]++
	}
	return jobs
}

func TestSuspectsStartApartFromOtherJobs(t *testing.T) {
	workers := suspectWorkers(8)
	workers[0].Starting.Add("other", false)
	workers[1].Runs = 3
	normal := group(20, 1)
	normal.Job = "normal"
	jobs := jobsByWorker(Plan([]*Group{normal, suspectGroup("a", 2), suspectGroup("b", 2), suspectGroup("c", 1)}, workers))
	if jobs["w2"]["a"] != 2 || jobs["w3"]["b"] != 2 || len(jobs["w2"]) != 1 || len(jobs["w3"]) != 1 {
		t.Errorf("placed %v", jobs)
	}
	placed := 0
	for _, by := range jobs {
		placed += by["normal"]
		if by["c"] > 0 {
			t.Error("more than a quarter of the pool is isolated")
		}
	}
	if placed != 20 {
		t.Errorf("%d tasks placed beside the suspects", placed)
	}
}

func TestNothingStartsBesideAStartingSuspect(t *testing.T) {
	workers := suspectWorkers(2)
	workers[0].Starting.Add("a", true)
	jobs := jobsByWorker(Plan([]*Group{group(4, 1), suspectGroup("a", 1), suspectGroup("b", 1)}, workers))
	if jobs["w0"]["a"] != 1 || len(jobs["w0"]) != 1 || jobs["w1"]["j"] != 4 || jobs["w1"]["b"] != 0 {
		t.Errorf("placed %v", jobs)
	}
}

func TestWorkerIsReservedForASuspect(t *testing.T) {
	workers := suspectWorkers(4)
	for i, w := range workers {
		for range 4 - i {
			w.Starting.Add("x", false)
		}
	}
	workers[2].Free = workload.Resources{}
	jobs := jobsByWorker(Plan([]*Group{group(4, 1), suspectGroup("a", 1)}, workers))
	if len(jobs["w3"]) != 0 || len(jobs) != 1 {
		t.Errorf("placed %v, expected nothing on the worker with the fewest starting runs", jobs)
	}
}

func TestConstraintsHoldForSuspects(t *testing.T) {
	workers := suspectWorkers(8)
	workers[5].Labels, workers[6].Labels = []string{"big"}, []string{"big"}
	g := suspectGroup("a", 3)
	g.Label, g.MaxPerWorker = "big", 1
	jobs := jobsByWorker(Plan([]*Group{g}, workers))
	if jobs["w5"]["a"] != 1 || jobs["w6"]["a"] != 1 || len(jobs) != 2 {
		t.Errorf("placed %v", jobs)
	}
}

func TestSuspectGangStartsAsAWholeOrReservesItsWorkers(t *testing.T) {
	for _, busy := range []bool{false, true} {
		workers := suspectWorkers(4)
		if busy {
			workers[3].Starting.Add("x", false)
		}
		g := suspectGroup("a", 4)
		g.Gang, g.MaxPerWorker = true, 1
		plan := Plan([]*Group{g, group(2, 1)}, workers)
		if busy && len(plan) != 0 {
			t.Errorf("placed %v while a worker of the gang is not free", jobsByWorker(plan))
		}
		if !busy && (len(plan) != 4 || len(jobsByWorker(plan)) != 4) {
			t.Errorf("placed %v", jobsByWorker(plan))
		}
	}
}
