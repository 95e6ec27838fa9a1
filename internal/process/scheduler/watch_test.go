package scheduler

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestWorkerOfAnOrderedVMIsNotReportedAsUnresponsive guards against thousands of
// warnings, calls and new connections a day about workers that the leader itself
// has ended by moving their VMs.
func TestWorkerOfAnOrderedVMIsNotReportedAsUnresponsive(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		var out bytes.Buffer
		l := newLoop(t.Context(), Options{Log: slog.New(slog.NewJSONHandler(&out, nil))}, 1)
		w := &worker{reg: workstate.Worker{ID: "w1", VM: "vm1"}, contacted: true}
		l.workers["w1"] = w
		e := &vmEntry{vm: execution.VM{ID: "vm1"}}
		if ordered {
			e.order = &vmOrder{pool: "other"}
		}
		l.fleet.entries["vm1"] = e
		now := time.Now()
		l.handleWatchFailure(w, now, execution.Accepted, execution.ErrNoAnswer)
		if warned := strings.Contains(out.String(), "worker unresponsive"); warned == ordered {
			t.Errorf("ordered %v: warned %v", ordered, warned)
		}
		if pause := w.nextWatch.Sub(now); ordered != (pause >= listIntervalBusy) {
			t.Errorf("ordered %v: next watch after %s", ordered, pause)
		}
		if !w.unresponsive {
			t.Errorf("ordered %v: the worker may get new tasks", ordered)
		}
	}
}

// TestWorkerThatAnswersWhileItIsDeregisteredGetsNoTasks guards against tasks that run twice: what is started on a worker before its deregistration is committed counts as ended with it, although the worker is alive.
func TestWorkerThatAnswersWhileItIsDeregisteredGetsNoTasks(t *testing.T) {
	now := time.Now()
	l := newLoop(t.Context(), Options{Log: slog.New(slog.DiscardHandler), Replica: &stuckReplica{}, Now: time.Now}, 1)
	w := &worker{reg: workstate.Worker{ID: "w1", VM: "vm1", Incarnation: 7}, unresponsive: true, watching: true}
	l.addWorker(w, now.Add(-time.Hour))
	l.watchWorkers(now)
	l.handleReport(w, now, execution.Report{ClockMS: 1000, Incarnation: 7}, nil)
	if w.unresponsive || !w.contacted {
		t.Fatal("the report was not taken")
	}
	if w.schedulable(time.Now()) {
		t.Error("the worker may get tasks")
	}
}

// TestReportOfEndsKeepsWhatIsKnownOfOtherRuns guards against a leader that takes runs for missing because a report left them out, and against one that decodes all runs of a worker for each end.
func TestReportOfEndsKeepsWhatIsKnownOfOtherRuns(t *testing.T) {
	now := time.Now()
	l := newLoop(t.Context(), Options{Log: slog.New(slog.DiscardHandler), Now: time.Now}, 1)
	w := &worker{reg: workstate.Worker{ID: "w1", VM: "vm1", Incarnation: 7}}
	l.workers["w1"] = w
	a, b := workload.TaskID{Job: "a"}, workload.TaskID{Job: "b"}
	l.handleReport(w, now, execution.Report{ClockMS: 1000, Incarnation: 7, Running: []execution.RunningTask{{Task: a, Run: 1}, {Task: b, Run: 1}}}, nil)
	sentAt := w.report.sentAt
	l.handleReport(w, now.Add(time.Second), execution.Report{ClockMS: 2000, Incarnation: 7, EndsOnly: true, Ended: []execution.EndedRun{{Number: 1, Task: a, Run: 1, Reason: execution.ReasonDone}}}, nil)
	_, running := w.report.running[runKey{b, 1}]
	_, stillRunning := w.report.running[runKey{a, 1}]
	_, ended := w.report.ended[runKey{a, 1}]
	if !running || stillRunning || !ended {
		t.Errorf("b running %v, a running %v, a ended %v", running, stillRunning, ended)
	}
	if !w.report.sentAt.Equal(sentAt) {
		t.Error("what the report left out counts as seen at its time")
	}
	if w.reportedEnd != 1 || w.watchWait() != busyWatchWait {
		t.Errorf("reported end %d, next watch waits %s", w.reportedEnd, w.watchWait())
	}
	l.handleReport(w, now.Add(2*time.Second), execution.Report{ClockMS: 3000, Incarnation: 7}, nil)
	if len(w.report.running) != 0 || len(w.report.ended) != 0 || w.watchWait() != idleWatchWait {
		t.Errorf("a full report did not replace the view: %+v", w.report)
	}
}
