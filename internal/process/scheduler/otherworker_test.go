package scheduler

import (
	"log/slog"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workerlease"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestClockOfAnotherWorkerProlongsNoLease guards against tasks that wait for the longest lease of a worker that is gone: another one at its address, which takes no calls for it, has refused a start.
func TestClockOfAnotherWorkerProlongsNoLease(t *testing.T) {
	now := time.Now()
	l := newLoop(t.Context(), Options{Log: slog.New(slog.DiscardHandler), Limits: Limits{LongestLease: longestLease * time.Millisecond}, Now: time.Now}, 1)
	w := &worker{reg: workstate.Worker{ID: "w1", Incarnation: 7}}
	l.addWorker(w, now)
	l.handleReport(w, now, execution.Report{ClockMS: 1_000_000, Incarnation: 7}, nil)
	expiry := now.Add(workerlease.Duration + time.Second)
	id := workload.TaskID{Job: jobA}
	r := &run{number: 1, worker: "w1", sent: true}
	l.runs.Set(id, r)
	l.handleStartAnswer(id, r, w, execution.Answer{Refusal: execution.RefusedOtherWorker, ClockMS: 5000}, nil)
	if !w.lease.Expired(expiry, longestLease*time.Millisecond) {
		t.Errorf("the bound lasts beyond %s", workerlease.Duration+time.Second)
	}
}
