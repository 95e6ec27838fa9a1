package relocation

import (
	"fmt"
	"testing"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// BenchmarkPlanOfAWaveOverALargeFleet plans one round of a wave over half of 1,100
// workers in five pools, each with three long-running tasks.
func BenchmarkPlanOfAWaveOverALargeFleet(b *testing.B) {
	const workers, pools, tasks = 1100, 5, 3
	s := Snapshot{Pools: map[string]Pool{}}
	for i := range workers {
		pool := fmt.Sprint("svc", i%pools)
		w := Worker{ID: fmt.Sprint("w", i), Service: pool, Open: true, DrainPending: i < workers/2, Room: workload.Resources{MilliCPU: 40000}}
		for k := range tasks {
			w.Tasks = append(w.Tasks, Task{Step: workload.StepID{Job: fmt.Sprint("job", i, k)}, Service: pool, Charge: workload.Resources{MilliCPU: 5000}, Budget: 1})
		}
		s.Workers = append(s.Workers, w)
	}
	for b.Loop() {
		p := NewPlan(s)
		for i := range workers / 2 {
			_ = p.Close(s.Workers[i].ID, Urgent)
		}
	}
}

// BenchmarkPlanWithoutAWave plans one round in which the workers are only asked whether
// they can close.
func BenchmarkPlanWithoutAWave(b *testing.B) {
	const workers, pools = 1100, 5
	s := Snapshot{Pools: map[string]Pool{}}
	for i := range workers {
		pool := fmt.Sprint("svc", i%pools)
		task := Task{Step: workload.StepID{Job: fmt.Sprint("job", i)}, Service: pool, Charge: workload.Resources{MilliCPU: 5000}, Budget: 1}
		s.Workers = append(s.Workers, Worker{ID: fmt.Sprint("w", i), Service: pool, Open: true, Room: workload.Resources{MilliCPU: 40000}, Tasks: []Task{task}})
	}
	for b.Loop() {
		p := NewPlan(s)
		for i := range workers {
			p.CanClose(s.Workers[i].ID)
		}
	}
}
