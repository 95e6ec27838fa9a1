package scheduler

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// laggingReplica is the replica of a leader that has not applied all committed
// commands; ReadBarrier applies them.
type laggingReplica struct {
	*fakeReplica
	committed []*workstate.Command
}

func (r *laggingReplica) ReadBarrier(ctx context.Context) error {
	for _, c := range r.committed {
		if _, err := propose(ctx, r.fakeReplica, c, time.Now()); err != nil {
			return err
		}
	}
	r.committed = nil
	return nil
}

// TestAcceptedJobIsNotRefusedByALeaderThatCatchesUp guards against a refusal of a job that runs: a new leader refuses it by a state that lacks what its predecessor committed.
func TestAcceptedJobIsNotRefusedByALeaderThatCatchesUp(t *testing.T) {
	machine := workstate.NewMachine()
	spec := workload.Spec{Payload: "p", Steps: []workload.Step{step(1)}}
	r := &laggingReplica{fakeReplica: &fakeReplica{machine: machine, term: 1}, committed: []*workstate.Command{
		{Catalog: testCatalog()}, {Submit: &workstate.Submit{ID: jobA, Host: "host", Path: "/q/" + jobA, Spec: spec}},
	}}
	s := &Server{replica: r, machine: machine, log: slog.New(slog.DiscardHandler), wake: func() {}, onJobAccepted: func(string) {}, now: time.Now}
	answer, err := s.Submit(t.Context(), workcall.SubmitRequest{Location: workcall.Location{Host: "host", Path: "/q/" + jobA}, Spec: spec})
	if err != nil || answer.Status != workcall.OK {
		t.Errorf("an accepted job is answered with status %d, error %v", answer.Status, err)
	}
}

// TestEndOfAWorkerIsNotAcknowledgedByALeaderThatCatchesUp guards against a worker that ends with its runs although it stays registered: a new leader does not know of its registration yet.
func TestEndOfAWorkerIsNotAcknowledgedByALeaderThatCatchesUp(t *testing.T) {
	machine := workstate.NewMachine()
	r := &laggingReplica{fakeReplica: &fakeReplica{machine: machine, term: 1}, committed: []*workstate.Command{
		{Catalog: testCatalog()}, {Register: &workstate.Worker{ID: "w1", Address: "w1", Service: "svc", VM: "vm-w1", Incarnation: 1}},
	}}
	s := &Server{replica: r, machine: machine, log: slog.New(slog.DiscardHandler), wake: func() {}, onJobAccepted: func(string) {}, now: time.Now}
	if _, err := s.Deregister(t.Context(), workcall.DeregisterRequest{ID: "w1", Incarnation: 1}); err != nil {
		return
	}
	if err := r.ReadBarrier(t.Context()); err != nil {
		t.Fatal(err)
	}
	machine.Read(func(v *workstate.View) {
		if v.Workers()["w1"] != nil {
			t.Error("the worker is registered although its end was acknowledged")
		}
	})
}
