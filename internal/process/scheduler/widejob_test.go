package scheduler

import (
	"log/slog"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// wideTasks is more than the starts of one step that a packed command has room for.
const wideTasks = 45_000

// wideJob submits a job of one wide step and returns a leader without workers, the state and
// the starts of all tasks.
func wideJob(t *testing.T, format int) (*loop, *workstate.Machine, []workstate.Start) {
	machine := workstate.NewMachine()
	replica := &fakeReplica{machine: machine}
	l := newLoop(t.Context(), Options{Replica: replica, Machine: machine, Log: slog.New(slog.DiscardHandler), Now: time.Now}, 1)
	l.format = format
	commitTo(t, machine, &workstate.Command{Catalog: testCatalog()})
	commitTo(t, machine, &workstate.Command{Register: &workstate.Worker{ID: "w0", Address: "w0", Service: "svc", VM: "v0", Incarnation: 1, Capacity: workload.Resources{MilliCPU: wideTasks, MemoryMB: wideTasks}}})
	spec := workload.Spec{Steps: []workload.Step{{Count: wideTasks, Need: workload.Resources{MilliCPU: 1}}}}
	commitTo(t, machine, &workstate.Command{Submit: &workstate.Submit{ID: jobA, Host: "host", Path: "/q/" + jobA, Spec: spec}})
	starts := make([]workstate.Start, wideTasks)
	for i := range starts {
		starts[i] = workstate.Start{Task: workload.TaskID{Job: jobA, Index: i}, Run: 1, Worker: "w0", Incarnation: 1, Term: 1}
	}
	return l, machine, starts
}

// TestRunsOfAWideStepAreCommitted guards against a panic of each leader that commits the starts or the ends of a wide step in one command, which no member can read.
func TestRunsOfAWideStepAreCommitted(t *testing.T) {
	for name, format := range map[string]int{"plain": workstate.FormatPlain, "newest": workstate.NewestFormat} {
		t.Run(name, func(t *testing.T) {
			l, machine, starts := wideJob(t, format)
			ends := make([]workstate.End, wideTasks)
			for i := range ends {
				ends[i] = workstate.End{Task: starts[i].Task, Run: 1, Kind: workstate.EndDone}
			}
			for _, c := range []struct {
				progress  workstate.Progress
				executing int
			}{{workstate.Progress{Starts: starts}, wideTasks}, {workstate.Progress{Ends: ends}, 0}} {
				l.commit(&c.progress)
				(<-l.events)(l)
				machine.Read(func(v *workstate.View) {
					if executing := v.Job(jobA).Executing; executing != c.executing {
						t.Errorf("%d runs are executing, expected %d", executing, c.executing)
					}
				})
			}
			machine.Read(func(v *workstate.View) {
				if outcome := v.Job(jobA).Outcome; outcome != workstate.Succeeded {
					t.Errorf("the job's outcome is %d", outcome)
				}
			})
		})
	}
}
