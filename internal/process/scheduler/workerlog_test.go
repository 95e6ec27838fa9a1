package scheduler

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workerlease"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// logged returns the lines of a log with a message.
func logged(t *testing.T, out *bytes.Buffer, message string) []map[string]any {
	t.Helper()
	var lines []map[string]any
	for _, text := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
		var line map[string]any
		if err := json.Unmarshal(text, &line); err != nil {
			t.Fatal(err)
		}
		if line["msg"] == message {
			lines = append(lines, line)
		}
	}
	return lines
}

// expectLine reports an error unless exactly one line has the message, with the attributes; those of nil are absent.
func expectLine(t *testing.T, out *bytes.Buffer, message string, wanted map[string]any) {
	t.Helper()
	lines := logged(t, out, message)
	if len(lines) != 1 {
		t.Fatalf("%d lines %q in\n%s", len(lines), message, out)
	}
	for key, value := range wanted {
		if lines[0][key] != value {
			t.Errorf("%q: %s is %v, expected %v", message, key, lines[0][key], value)
		}
	}
}

// TestLogTellsWhichBoundEndedARun guards against an operator who can't tell by which bound and which incarnation's clock a run was ended and its task started again.
func TestLogTellsWhichBoundEndedARun(t *testing.T) {
	const inherited, stray = 6120.0, 25500.0
	for name, c := range map[string]struct {
		restarted, contacted, granted bool
		basis                         string
		contact, expired              map[string]any
	}{
		"granted":                       {contacted: true, granted: true, basis: "own", contact: map[string]any{"basis": "inherited", "lease_ms": 4000.0}, expired: map[string]any{"lease_ms": 4980.0, "until_ms": 5980.0}},
		"of a former leader":            {contacted: true, basis: "inherited", contact: map[string]any{"basis": "inherited", "lease_ms": 4000.0}, expired: map[string]any{"lease_ms": 4000.0, "until_ms": 5000.0}},
		"of an earlier incarnation":     {restarted: true, contacted: true, basis: "stray", contact: map[string]any{"basis": "stray", "lease_ms": 10000.0}, expired: map[string]any{"lease_ms": 10000.0, "until_ms": 11000.0}},
		"without contact":               {basis: "inherited", expired: map[string]any{"bound_ms": inherited, "clock_ms": nil, "answered_ms_ago": nil}},
		"without contact since a start": {restarted: true, basis: "stray", expired: map[string]any{"bound_ms": stray, "clock_ms": nil, "answered_ms_ago": nil}},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			l := newLoop(t.Context(), Options{Log: slog.New(slog.NewJSONHandler(&out, nil)), Limits: Limits{LongestLease: longestLease * time.Millisecond}}, 1)
			knownSince := time.Now().Add(-2 * time.Second)
			w := &worker{reg: workstate.Worker{ID: "w1", Incarnation: 7, Restarted: c.restarted}}
			l.addWorker(w, knownSince)
			contacts, ends := strayLeaseContacts.Get(), leaseEnds[workerlease.Basis(c.basis)].Get()
			if c.contacted {
				l.handleReport(w, time.Now(), execution.Report{Incarnation: 7, ClockMS: 1000}, nil)
				c.contact["clock_ms"], c.contact["incarnation"], c.contact["restarted"], c.contact["token"] = 1000.0, 7.0, c.restarted, float64(w.token)
				c.expired["clock_ms"] = 1000.0
				expectLine(t, &out, "worker contacted", c.contact)
				if lines := logged(t, &out, "worker responsive"); len(lines) > 0 {
					t.Errorf("two lines for one answer: %v", lines)
				}
			}
			if c.granted {
				w.lease.Grant(w.lease.Reading().At.Add(time.Second))
			}
			failedAt := time.Now()
			l.handleWatchFailure(w, failedAt, execution.Accepted, execution.ErrNoAnswer)
			expectLine(t, &out, "worker unresponsive", c.expired)
			late := failedAt.Add(30 * time.Second)
			for index := range 2 {
				r := &run{number: 1, worker: "w1"}
				l.reconcileRun(nil, nil, workload.TaskID{Job: jobA, Index: index}, &workstate.Task{Worker: "w1", Incarnation: 6, Run: 1}, r, w, late)
			}
			c.expired["worker"], c.expired["incarnation"], c.expired["contacted"], c.expired["basis"] = "w1", 7.0, c.contacted, c.basis
			expectLine(t, &out, "leases of worker expired", c.expired)
			lines := logged(t, &out, "run ended with the lease of its worker")
			if len(lines) != 2 {
				t.Fatalf("%d lines for 2 runs", len(lines))
			}
			for _, line := range lines {
				if line["basis"] != c.basis || line["worker"] != "w1" || line["incarnation"] != 7.0 || line["run_incarnation"] != 6.0 {
					t.Errorf("the line of a run is %v", line)
				}
			}
			if counted := leaseEnds[workerlease.Basis(c.basis)].Get() - ends; counted != 2 {
				t.Errorf("%d ended runs counted", counted)
			}
			if counted := strayLeaseContacts.Get() - contacts; counted == 1 != (c.restarted && c.contacted) {
				t.Errorf("%d contacts counted", counted)
			}
		})
	}
}

// TestLeasesThatExpireAgainAreLoggedAgain guards against an operator who finds the leases of a worker's first silence beside the runs that its second one ended.
func TestLeasesThatExpireAgainAreLoggedAgain(t *testing.T) {
	var out bytes.Buffer
	l := newLoop(t.Context(), Options{Log: slog.New(slog.NewJSONHandler(&out, nil)), Limits: Limits{LongestLease: longestLease * time.Millisecond}}, 1)
	w := &worker{reg: workstate.Worker{ID: "w1", Incarnation: 7}}
	l.addWorker(w, time.Now())
	for silence := range 2 {
		l.handleReport(w, time.Now(), execution.Report{Incarnation: 7, ClockMS: int64(1000 + silence)}, nil)
		failedAt := time.Now()
		l.handleWatchFailure(w, failedAt, execution.Accepted, execution.ErrNoAnswer)
		id := workload.TaskID{Job: jobA, Index: silence}
		l.reconcileRun(nil, nil, id, &workstate.Task{Worker: "w1", Incarnation: 7, Run: 1}, &run{number: 1, worker: "w1"}, w, failedAt.Add(30*time.Second))
	}
	if lines := logged(t, &out, "leases of worker expired"); len(lines) != 2 || lines[0]["clock_ms"] != 1000.0 || lines[1]["clock_ms"] != 1001.0 {
		t.Errorf("the lines are %v", lines)
	}
	expectLine(t, &out, "worker contacted", map[string]any{"clock_ms": 1000.0})
	expectLine(t, &out, "worker responsive", map[string]any{"incarnation": 7.0})
}

// TestLogOfARegistrationTellsARestartAndItsClock guards against an operator who can't tell whether a worker's incarnation may hold leases of an earlier one.
func TestLogOfARegistrationTellsARestartAndItsClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		f.lead()
		defer f.depose()
		for incarnation, restarted := range []bool{false, true} {
			var out bytes.Buffer
			s := f.leadingServer()
			s.log = slog.New(slog.NewJSONHandler(&out, nil))
			reg := workstate.Worker{ID: "w1", Address: "w1", Service: "svc", VM: "vm-w1", Incarnation: int64(incarnation + 1)}
			if _, err := s.Heartbeat(t.Context(), workcall.HeartbeatRequest{Worker: reg, Sequence: 1, ClockMS: 1000}); err != nil {
				t.Fatal(err)
			}
			expectLine(t, &out, "worker registered", map[string]any{"incarnation": float64(incarnation + 1), "clock_ms": 1000.0, "restarted": restarted})
		}
	})
}

// TestLogOfAStartOrderNamesItsIncarnation guards against an operator who can't tell for which incarnation an order without an answer was sent.
func TestLogOfAStartOrderNamesItsIncarnation(t *testing.T) {
	for message, c := range map[string]struct {
		answer execution.Answer
		err    error
	}{
		"start order refused":    {execution.Answer{Refusal: execution.RefusedLeaseExpired, ClockMS: 1000}, nil},
		"start order unanswered": {execution.Answer{}, execution.ErrNoAnswer},
	} {
		var out bytes.Buffer
		l := newLoop(t.Context(), Options{Log: slog.New(slog.NewJSONHandler(&out, nil))}, 1)
		w := &worker{reg: workstate.Worker{ID: "w1", Incarnation: 7}}
		l.addWorker(w, time.Now())
		id, r := workload.TaskID{Job: jobA}, &run{number: 1, worker: "w1"}
		l.runs.Set(id, r)
		l.handleStartAnswer(id, r, w, c.answer, c.err)
		expectLine(t, &out, message, map[string]any{"task": id.String(), "worker": "w1", "incarnation": 7.0, "token": float64(w.token)})
	}
}

// TestLogOfAnUnrecordedRunNamesItsIncarnation guards against an operator who can't tell which incarnation still executes a run that was ended.
func TestLogOfAnUnrecordedRunNamesItsIncarnation(t *testing.T) {
	var out bytes.Buffer
	l := newLoop(t.Context(), Options{Log: slog.New(slog.NewJSONHandler(&out, nil)), Workers: newFakeWorkers(t, time.Minute)}, 1)
	w := &worker{reg: workstate.Worker{ID: "w1", Incarnation: 7}}
	l.addWorker(w, time.Now())
	key := runKey{workload.TaskID{Job: jobA}, 1}
	l.stopOrphan(w, key, time.Now())
	expectLine(t, &out, "stopping unrecorded run", map[string]any{"task": key.task.String(), "run": 1.0, "worker": "w1", "incarnation": 7.0})
}
