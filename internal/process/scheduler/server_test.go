package scheduler

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestKnownJobIsAcceptedAgainWithoutALogEntry submits a job again, like a
// client whose answer was late. The log must not grow.
func TestKnownJobIsAcceptedAgainWithoutALogEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		s := &Server{replica: f.replica, machine: f.machine, log: slog.New(slog.DiscardHandler), wake: func() {}, onJobAccepted: func(string) {}, now: time.Now}
		request := workcall.SubmitRequest{Location: workcall.Location{Host: "host", Path: "/q/" + jobA}, Spec: workload.Spec{Steps: []workload.Step{step(1)}}}
		for range 3 {
			if answer, err := s.Submit(context.Background(), request); err != nil || answer.Status != workcall.OK {
				t.Fatalf("answer %+v, error %v", answer, err)
			}
		}
		// The first command is the fixture's configuration.
		if f.replica.index != 2 {
			t.Errorf("%d commands in the log, expected the configuration and the job", f.replica.index)
		}
	})
}
