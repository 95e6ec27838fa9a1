package scheduler

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestRepeatedOrderDoesNotDeadlockWithCommand repeats an order within a round while
// a command waits to be applied. If the round read the state a second time, it
// would wait for the command and the command for the round.
func TestRepeatedOrderDoesNotDeadlockWithCommand(t *testing.T) {
	f := &fixture{t: t, machine: workstate.NewMachine(), workers: newFakeWorkers(t, time.Second), vms: newFakePlatform()}
	f.replica = &fakeReplica{machine: f.machine, term: 1}
	f.commit(&workstate.Command{Catalog: testCatalog()})
	w := f.addWorker("w1", 4000)
	f.submit(jobA, step(1))
	f.commit(&workstate.Command{Progress: &workstate.Progress{Starts: []workstate.Start{{Task: workload.TaskID{Job: jobA}, Run: 1, Worker: "w1", Incarnation: w.incarnation}}}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := newLoop(ctx, Options{Replica: f.replica, Machine: f.machine, Workers: f.workers, Log: slog.New(slog.DiscardHandler), Now: time.Now}, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.machine.Read(func(v *workstate.View) {
			l.syncWorkers(v)
			known := l.workers["w1"]
			known.contacted, known.answeredAt = true, time.Now()
			known.report = newReportView(time.Now(), &execution.Report{})
			command, err := cbor.Marshal(workstate.Command{PurgeJobs: &workstate.PurgeJobs{}})
			if err != nil {
				t.Error(err)
			}
			go f.machine.Apply(99, command)
			time.Sleep(50 * time.Millisecond)
			l.reconcile(v, fleetDetails, time.Now())
		})
	}()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Fatal("the round never ends")
	}
	if r := l.runs.Get(workload.TaskID{Job: jobA}); r == nil || r.phase != runOrdering {
		t.Errorf("run %+v was not ordered", r)
	}
}
