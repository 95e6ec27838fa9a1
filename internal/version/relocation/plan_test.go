package relocation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// randomFleets is the number of fleets that each random test looks at.
const randomFleets = 3000

const service = "svc"

// randomSnapshot returns workers of one pool with tasks that fit on them.
func randomSnapshot(r *rand.Rand) Snapshot {
	s := Snapshot{Pools: map[string]Pool{service: {Load: r.Float64() * 4, Away: 1, Returning: r.IntN(2)}}, Unavailable: map[workload.StepID]int{}}
	steps := make([]Task, 1+r.IntN(4))
	for i := range steps {
		steps[i] = Task{
			Step: workload.StepID{Job: fmt.Sprint("job", i)}, Service: service, MaxPerWorker: r.IntN(3), Budget: r.IntN(4) - 1,
			Charge: workload.Resources{MilliCPU: 500 + r.Int64N(3000), MemoryMB: 100 + r.Int64N(4000)},
		}
		if r.IntN(4) == 0 {
			steps[i].Label = "a"
		}
	}
	for i := range 1 + r.IntN(8) {
		w := Worker{
			ID: fmt.Sprint("w", i), Service: service, Open: r.IntN(6) > 0, DrainPending: r.IntN(2) == 0,
			Room: workload.Resources{MilliCPU: 4000 + 4000*r.Int64N(2), MemoryMB: 8000},
		}
		if r.IntN(2) == 0 {
			w.Labels = []string{"a"}
		}
		for range r.IntN(4) {
			task := steps[r.IntN(len(steps))]
			one := newWorker(w)
			if one.suits(&task) {
				w.Tasks = append(w.Tasks, task)
				w.Room = w.Room.Sub(task.Charge)
			}
		}
		s.Workers = append(s.Workers, w)
	}
	for range r.IntN(3) {
		s.Waiting = append(s.Waiting, steps[r.IntN(len(steps))])
	}
	return s
}

func newWorker(w Worker) *worker { return &worker{Worker: w} }

// TestClosedWorkersLeaveARoomForEachTask guards against tasks that are stopped and have no place: each task of the closed workers has one, on an open worker that may execute it, and no two count on the same room.
func TestClosedWorkersLeaveARoomForEachTask(t *testing.T) {
	eachFleet(t, func(t *testing.T, r *rand.Rand) {
		s := randomSnapshot(r)
		p := NewPlan(s)
		waiting, moving := countPlaces(p), 0
		for _, i := range r.Perm(len(s.Workers)) {
			if p.Close(s.Workers[i].ID, Pressure(r.IntN(4))) == nil {
				moving += len(s.Workers[i].Tasks)
			}
		}
		for _, w := range p.workers {
			checkRoom(t, w)
		}
		if placed, wanted := countPlaces(p), moving+waiting; placed != wanted {
			t.Errorf("%d tasks have a place, expected %d", placed, wanted)
		}
	})
}

// countPlaces returns the number of tasks that have a place.
func countPlaces(p *Plan) int {
	count := 0
	for _, w := range p.workers {
		count += len(w.reserved)
	}
	return count
}

// checkRoom reports tasks that have their place on a worker that can't execute them.
func checkRoom(t *testing.T, w *worker) {
	t.Helper()
	if len(w.reserved) > 0 && !w.acceptsTasks() {
		t.Errorf("%s is closed and has %d tasks", w.ID, len(w.reserved))
	}
	if len(w.reserved) > 0 && !w.Room.Fits(workload.Resources{}) {
		t.Errorf("the tasks on %s take %v more than it has", w.ID, w.Room)
	}
	for i := range w.reserved {
		task := &w.reserved[i]
		if task.MaxPerWorker > 0 && w.tasksOf(task.Step) > task.MaxPerWorker {
			t.Errorf("%d tasks of %v on %s, expected at most %d", w.tasksOf(task.Step), task.Step, w.ID, task.MaxPerWorker)
		}
		if task.Label != "" && len(w.Labels) == 0 {
			t.Errorf("a task that needs a label has its place on %s", w.ID)
		}
	}
}

// TestPoolKeepsWorkersOpen guards against a pool that is closed as a whole, whose waiting tasks find no worker.
func TestPoolKeepsWorkersOpen(t *testing.T) {
	eachFleet(t, func(t *testing.T, r *rand.Rand) {
		s := randomSnapshot(r)
		p := NewPlan(s)
		pool := p.pools[service]
		size, pressure := pool.open+pool.Away, Pressure(r.IntN(4))
		for i := range s.Workers {
			if s.Workers[i].Open {
				_ = p.Close(s.Workers[i].ID, pressure)
			}
		}
		if pool.open < min(size/2, 1) {
			t.Errorf("%d of %d workers are open", pool.open, size)
		}
		if lowered := pool.floor(pressure); pressure >= Urgent && lowered > size/2 {
			t.Errorf("a wave that is urgent has to leave %d of %d workers open", lowered, size)
		}
	})
}

// TestRefusedCloseChangesNothing guards against room that is lost to workers that stay open.
func TestRefusedCloseChangesNothing(t *testing.T) {
	eachFleet(t, func(t *testing.T, r *rand.Rand) {
		s := randomSnapshot(r)
		p := NewPlan(s)
		for _, i := range r.Perm(len(s.Workers)) {
			before := describe(p)
			can := p.CanClose(s.Workers[i].ID)
			if after := describe(p); after != before {
				t.Fatalf("asking changed the plan from\n%s to\n%s", before, after)
			}
			err := p.Close(s.Workers[i].ID, Relaxed)
			if can != (err == nil) {
				t.Errorf("CanClose is %t, Close returns %v", can, err)
			}
			if after := describe(p); err != nil && after != before {
				t.Fatalf("refusal changed the plan from\n%s to\n%s", before, after)
			}
		}
	})
}

func describe(p *Plan) string {
	text := ""
	for _, w := range p.pools[service].workers {
		text += fmt.Sprintln(w.ID, w.Open, w.closed, w.Room, len(w.reserved), w.pool.open, w.pool.closed)
	}
	return text
}

// TestOneWorkerOfAWholePoolCanClose guards against a wave that never begins: with room for the tasks of any worker, one closes although all wait to be drained.
func TestOneWorkerOfAWholePoolCanClose(t *testing.T) {
	for count := 2; count <= 8; count++ {
		var s Snapshot
		for i := range count {
			task := Task{Step: workload.StepID{Job: "job"}, Service: service, Charge: workload.Resources{MilliCPU: 1000}, Budget: 1}
			s.Workers = append(s.Workers, Worker{
				ID: fmt.Sprint("w", i), Service: service, Open: true, DrainPending: true, Room: workload.Resources{MilliCPU: 1000}, Tasks: []Task{task},
			})
		}
		p := NewPlan(s)
		if err := p.Close("w0", Relaxed); err != nil {
			t.Errorf("%d workers: the first stays open: %v", count, err)
		}
		if err := p.Close("w1", Urgent); err == nil {
			t.Errorf("%d workers: tasks leave for a worker that waits to be drained although the first VM comes back", count)
		}
		if err := p.Close("w1", Pressing); (err == nil) != (count > 3) {
			t.Errorf("%d workers: with a deadline that is pressing, the second: %v", count, err)
		}
	}
}

// TestTasksWithoutOtherRoomWaitOnlyWithinTheirBudget guards against more unavailable tasks of a step than its budget allows.
func TestTasksWithoutOtherRoomWaitOnlyWithinTheirBudget(t *testing.T) {
	for _, c := range []struct {
		tasks, budget, unavailable int
		wanted                     error
	}{
		{1, 1, 0, nil}, {2, 1, 0, ErrNoRoom}, {1, 1, 1, ErrNoRoom}, {1, 0, 0, ErrNoRoom}, {3, -1, 5, nil},
	} {
		step := workload.StepID{Job: "job"}
		s := Snapshot{Unavailable: map[workload.StepID]int{step: c.unavailable}}
		w := Worker{ID: "w", Service: service, Open: true}
		for range c.tasks {
			w.Tasks = append(w.Tasks, Task{Step: step, Service: service, Charge: workload.Resources{MilliCPU: 1}, Budget: c.budget})
		}
		s.Workers = []Worker{w}
		if err := NewPlan(s).Interrupt("w"); !errors.Is(err, c.wanted) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}

func eachFleet(t *testing.T, check func(t *testing.T, r *rand.Rand)) {
	for seed := range uint64(randomFleets) {
		check(t, rand.New(rand.NewPCG(seed, 1)))
		if t.Failed() {
			t.Fatalf("fleet %d", seed)
		}
	}
}

// TestYieldingPoolKeepsItsPartOpen guards against a pool that yields VMs although its long-running tasks make it look full, or yields more than it has to.
func TestYieldingPoolKeepsItsPartOpen(t *testing.T) {
	for yields, want := range map[bool]int{false: 0, true: 6} {
		s := Snapshot{Pools: map[string]Pool{"svc": {Load: 10, Yields: yields, Kept: 4}}}
		for i := range 10 {
			s.Workers = append(s.Workers, Worker{ID: string(rune('a' + i)), Service: "svc", Open: true})
		}
		p, closed := NewPlan(s), 0
		for i := range s.Workers {
			if p.Close(s.Workers[i].ID, Yielding) == nil {
				closed++
			}
		}
		if closed != want {
			t.Errorf("%d of 10 workers closed, expected %d; yields %v", closed, want, yields)
		}
	}
}
