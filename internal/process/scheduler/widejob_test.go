package scheduler

import (
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/codec"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// wideTasks is more than the starts of one step that a packed command has room for.
const wideTasks = 45_000

// wideJob submits a job of one wide step and returns a leader without workers, the state and
// the starts of all tasks.
func wideJob(t *testing.T, format int) (*loop, *workstate.Machine, []workstate.Start) {
	machine := workstate.NewMachine()
	replica := &fakeReplica{machine: machine, term: 1}
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

// TestUnreadableCommitDoesNotEndTheLeader guards against a panic of a leader whose commit the members have not read.
func TestUnreadableCommitDoesNotEndTheLeader(t *testing.T) {
	l, machine, starts := wideJob(t, workstate.NewestFormat)
	l.Replica = &unreadableReplica{&fakeReplica{machine: machine}}
	l.commit(&workstate.Progress{Starts: starts[:1]})
	(<-l.events)(l)
	if !l.unconfirmed {
		t.Error("the leader goes on as if the commit had taken effect")
	}
}

// TestCommandThatMembersCannotReadIsNotAcknowledged guards against an operator's order or a registration that is acknowledged though the state has not taken it.
func TestCommandThatMembersCannotReadIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		s := f.newServer()
		index := f.replica.index
		vms := make([]string, codec.MaxElements+1)
		if _, err := s.StartWave(t.Context(), workcall.WaveRequest{Number: 7, VMs: vms, Cap: 1}); err == nil {
			t.Error("a wave that the state can't have is acknowledged")
		}
		if f.replica.index != index {
			t.Error("a command that no member can read is in the log")
		}
		// A process of another version has proposed what this one can't read.
		if _, err := propose(t.Context(), &unreadableReplica{f.replica}, &workstate.Command{PurgeJobs: &workstate.PurgeJobs{}}, time.Now()); !errors.Is(err, errMalformedCommand) {
			t.Errorf("a command that was not read: %v", err)
		}
	})
}
