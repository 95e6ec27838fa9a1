package scheduler

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
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
	w := &worker{reg: workstate.Worker{ID: "w1", VM: "vm1", Incarnation: 7}, knownSince: now.Add(-time.Hour), unresponsive: true, watching: true}
	l.workers["w1"] = w
	l.watchWorkers(now)
	l.handleReport(w, now, execution.Report{ClockMS: 1000, Incarnation: 7}, nil)
	if w.unresponsive || !w.contacted {
		t.Fatal("the report was not taken")
	}
	if w.schedulable(time.Now()) {
		t.Error("the worker may get tasks")
	}
}
