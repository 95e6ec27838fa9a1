package workstate

import (
	"reflect"
	"testing"

	"arbutusward.example/arbutusward/internal/codec"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestEachPartOfAProgressCanBeRead guards against a command of a round with many runs that is written and can't be read, and against runs that are lost between two parts.
func TestEachPartOfAProgressCanBeRead(t *testing.T) {
	for _, count := range []int{0, 1, MaxRuns / 3, MaxRuns, 100_000} {
		whole := &Progress{}
		for i := range count {
			task := workload.TaskID{Job: testJob, Index: i}
			whole.Survivals = append(whole.Survivals, Survival{Task: task, Run: 1})
			whole.Ends = append(whole.Ends, End{Task: task, Run: 1, Kind: EndDone})
			whole.Starts = append(whole.Starts, Start{Task: task, Run: 2, Worker: "w0", Incarnation: 1, Term: 3})
		}
		var joined Progress
		for _, part := range whole.Split() {
			if part.Runs() > MaxRuns {
				t.Errorf("a part of %d runs", part.Runs())
			}
			for _, c := range []Command{{Progress: part}, {Packed: Pack(part)}} {
				encoded, err := codec.Marshal(&c)
				if err != nil {
					t.Fatal(err)
				}
				var read Command
				if err := codec.Unmarshal(encoded, &read); err != nil {
					t.Fatal(err)
				}
			}
			joined.Survivals = append(joined.Survivals, part.Survivals...)
			joined.Ends = append(joined.Ends, part.Ends...)
			joined.Starts = append(joined.Starts, part.Starts...)
		}
		if !reflect.DeepEqual(&joined, whole) {
			t.Errorf("the parts of %d runs have %d", whole.Runs(), joined.Runs())
		}
	}
}
