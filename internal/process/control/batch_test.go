package control

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/request/batch"
)

// TestPullOfAnEarlierIncarnationLeasesNothing guards against a batch request that ends as unknown without having run: it is leased to a waiting pull of an entry that has restarted meanwhile.
func TestPullOfAnEarlierIncarnationLeasesNothing(t *testing.T) {
	machine := state.NewMachine()
	server := &Server{
		replica: &fakeReplica{machine: machine}, machine: machine, recorder: timeline.NewRecorder("c1", "z"), log: slog.New(slog.DiscardHandler),
	}
	record := func(incarnation string) {
		if _, err := propose[state.Incarnation](t.Context(), server, state.RecordIncarnation, state.Incarnation{Entry: "e", Incarnation: incarnation}); err != nil {
			t.Fatal(err)
		}
	}
	record("1")
	ctx, cancel := context.WithTimeout(t.Context(), 2*pullWait)
	defer cancel()
	pulled := make(chan error, 1)
	go func() {
		_, err := server.servePullBatch(ctx, link.Peer{ID: "e"}, batch.Pull{Entry: "e", Incarnation: "1", Max: 1, Services: []string{"cleanup"}})
		pulled <- err
	}()
	time.Sleep(2 * pullPollInterval)
	record("2")
	if _, err := server.serveAcceptBatch(ctx, link.Peer{ID: "e"}, batch.Request{Service: "cleanup", ID: "b"}); err != nil {
		t.Fatal(err)
	}
	var fault *link.Fault
	if err := <-pulled; !errors.As(err, &fault) || fault.Code != codeEndedIncarnation {
		t.Errorf("the pull was answered with %v", err)
	}
	if job, _ := machine.BatchJob("b"); job.State != batch.Queued || machine.Incarnation("e") != "2" {
		t.Errorf("the request is %s with incarnation %q, the entry's incarnation is %q", job.State, job.Incarnation, machine.Incarnation("e"))
	}
}
