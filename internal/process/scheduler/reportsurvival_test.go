package scheduler

import (
	"log/slog"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestReportSentAfterItsStartClearsARun guards against a job that is given up for crashes long after its starts, of workers whose last reports were requested before or just after them.
func TestReportSentAfterItsStartClearsARun(t *testing.T) {
	const survived = 1000 + int64(settleTime/time.Millisecond)
	task := &workstate.Task{Worker: "w1", Incarnation: 7, Run: 1}
	id := workload.TaskID{Job: jobA}
	row := execution.RunningTask{Task: id, Run: 1}
	cases := []struct {
		name       string
		acceptedMS int64
		first      execution.Report
		last       execution.Report
		want       bool
	}{
		{"by this incarnation", 1000, execution.Report{}, execution.Report{Incarnation: 7, ClockMS: survived}, true},
		{"before the start is survived", 1000, execution.Report{}, execution.Report{Incarnation: 7, ClockMS: survived - 1}, false},
		{"by an unnamed incarnation", 1000, execution.Report{}, execution.Report{ClockMS: survived}, false},
		{"after one that lists a run whose order got no answer", 0, execution.Report{Incarnation: 7, ClockMS: 1000, Running: []execution.RunningTask{row}}, execution.Report{Incarnation: 7, ClockMS: survived}, true},
		{"after one that does not list a run whose order got no answer", 0, execution.Report{Incarnation: 7, ClockMS: 1000}, execution.Report{Incarnation: 7, ClockMS: survived}, false},
		{"after one of an unnamed incarnation that lists the run", 0, execution.Report{ClockMS: 1000, Running: []execution.RunningTask{row}}, execution.Report{Incarnation: 7, ClockMS: survived}, false},
	}
	for _, c := range cases {
		l := newLoop(t.Context(), Options{Log: slog.New(slog.DiscardHandler)}, 1)
		w := &worker{reg: workstate.Worker{ID: "w1", Incarnation: 7}}
		l.workers["w1"] = w
		r := &run{number: 1, worker: "w1", acceptedClockMS: c.acceptedMS}
		requestedAt := time.Now()
		l.handleReport(w, requestedAt, c.first, nil)
		r.observe(w, runKey{id, 1})
		l.handleReport(w, requestedAt, c.last, nil)
		if r.settleByClock(w, task); r.settled != c.want {
			t.Errorf("report %s: settled %v", c.name, r.settled)
		}
	}
}
