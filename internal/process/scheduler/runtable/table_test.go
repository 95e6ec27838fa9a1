package runtable

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// run is a run with a number.
type run struct{ number int }

// TestTableHoldsWhatAMapHolds guards against a leader that loses sight of a run, or keeps one that has ended.
func TestTableHoldsWhatAMapHolds(t *testing.T) {
	dice := rand.New(rand.NewPCG(1, 2))
	table, model := New[run](), map[workload.TaskID]*run{}
	for n := range 20000 {
		id := workload.TaskID{Job: fmt.Sprint(dice.IntN(5)), Occurrence: dice.IntN(3), Step: dice.IntN(3), Index: dice.IntN(4)}
		switch dice.IntN(20) {
		case 0:
			table.RemoveIf(func(r *run) bool { return r.number%3 == 0 })
			maps.DeleteFunc(model, func(_ workload.TaskID, r *run) bool { return r.number%3 == 0 })
		case 1, 2, 3, 4, 5, 6, 7, 8:
			r := &run{number: n}
			table.Set(id, r)
			model[id] = r
		default:
			number := n
			if r := model[id]; r != nil && dice.IntN(2) == 0 {
				number = r.number
			}
			table.Remove(id, func(r *run) bool { return r.number == number })
			if r := model[id]; r != nil && r.number == number {
				delete(model, id)
			}
		}
		if got := table.Get(id); got != model[id] {
			t.Fatalf("step %d: %v is %v, want %v", n, id, got, model[id])
		}
		if table.Len() != len(model) || !maps.Equal(maps.Collect(table.All()), model) {
			t.Fatalf("step %d: %d runs, want %d, or others", n, table.Len(), len(model))
		}
	}
	table.RemoveIf(func(*run) bool { return true })
	if len(table.jobs) != 0 {
		t.Errorf("%d jobs without runs are kept", len(table.jobs))
	}
}
