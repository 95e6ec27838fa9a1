package workstate

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// BenchmarkWorkerLeavesAndReturns measures what each member does when an idle worker
// announces its end and registers again, as with each move of a VM, while 4,000 runs
// execute on the others.
func BenchmarkWorkerLeavesAndReturns(b *testing.B) {
	for _, workers := range []int{350, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			m := NewMachine()
			commit := func(c Command) {
				encoded, err := cbor.Marshal(c)
				if err != nil {
					b.Fatal(err)
				}
				m.Apply(1, encoded)
			}
			commit(Command{Catalog: testCatalog(1)})
			register := func(i int, incarnation int64) {
				commit(Command{Register: &Worker{ID: fmt.Sprint("w", i), Address: fmt.Sprint("a", i), VM: fmt.Sprint("v", i), Service: "s", Incarnation: incarnation}})
			}
			for i := range workers + 1 {
				register(i, 1)
			}
			for i := range 400 {
				id := fmt.Sprintf("%016x", i)
				commit(Command{Submit: &Submit{ID: id, Host: "h", Path: "/q/" + id, Spec: workload.Spec{Payload: "p", Steps: []workload.Step{{Count: 10}}}}})
				var progress Progress
				for k := range 10 {
					progress.Starts = append(progress.Starts, Start{Task: workload.TaskID{Job: id, Index: k}, Run: 1, Worker: fmt.Sprint("w", (i*10+k)%workers), Incarnation: 1})
				}
				commit(Command{Progress: &progress})
			}
			incarnation := int64(1)
			b.ReportAllocs()
			for b.Loop() {
				commit(Command{Deregister: &Deregister{ID: fmt.Sprint("w", workers), Incarnation: incarnation, Announced: true}})
				incarnation++
				register(workers, incarnation)
			}
		})
	}
}
