package workstate

import "testing"

// deregister applies the deregistration of a lost worker up to a heartbeat.
func deregister(t *testing.T, m *Machine, sequence int64) Result {
	t.Helper()
	return apply(t, m, Command{Deregister: &Deregister{ID: "w0", Incarnation: 1, Sequence: &sequence}})
}

func heartbeat(t *testing.T, m *Machine, incarnation, sequence int64) {
	t.Helper()
	apply(t, m, Command{Register: &Worker{ID: "w0", Address: "a0", VM: "v0", Service: "s", Incarnation: incarnation, Sequence: sequence}})
}

// TestRepeatedDeregistrationOfALostWorkerEndsNoLaterRuns guards against a task that runs twice: a repeated deregistration ends the runs that the worker got since it registered again.
func TestRepeatedDeregistrationOfALostWorkerEndsNoLaterRuns(t *testing.T) {
	m := newTestMachine(t)
	heartbeat(t, m, 1, 5)
	if !start(t, m, id(0, 0), 1, "w0") {
		t.Fatal("not started")
	}
	if deregister(t, m, 5).Repeated || m.data.Workers["w0"] != nil || m.executing.on("w0") != 0 {
		t.Fatal("not deregistered")
	}
	heartbeat(t, m, 1, 5)
	if m.data.Workers["w0"] != nil {
		t.Error("registered again by a heartbeat sent before the worker was found lost")
	}
	heartbeat(t, m, 1, 6)
	if !start(t, m, id(0, 0), 2, "w0") {
		t.Fatal("not started after the next heartbeat")
	}
	if !deregister(t, m, 5).Repeated || m.data.Workers["w0"] == nil || m.executing.on("w0") != 1 {
		t.Error("the repetition had an effect")
	}
}

// TestLostWorkerRegistersAgainByItsNextIncarnation guards against a restarted worker that stays unregistered because its heartbeats count anew.
func TestLostWorkerRegistersAgainByItsNextIncarnation(t *testing.T) {
	m := newTestMachine(t)
	heartbeat(t, m, 1, 5)
	deregister(t, m, 5)
	heartbeat(t, m, 2, 0)
	if m.data.Workers["w0"] == nil {
		t.Error("not registered")
	}
}

// TestDeregistrationWithoutASequenceIsAppliedAsBefore guards against replicas that apply the log of an earlier version in different ways, before and after a snapshot.
func TestDeregistrationWithoutASequenceIsAppliedAsBefore(t *testing.T) {
	m := newTestMachine(t)
	heartbeat(t, m, 1, 5)
	apply(t, m, Command{Deregister: &Deregister{ID: "w0", Incarnation: 1}})
	if m.data.Workers["w0"] != nil || len(m.data.Left) != 0 {
		t.Errorf("still registered, or remembered: %v", m.data.Left)
	}
	heartbeat(t, m, 1, 5)
	if m.data.Workers["w0"] == nil {
		t.Error("not registered again")
	}
}

// TestDeregistrationOfALostWorkerSurvivesASnapshot guards against a late heartbeat that registers a lost worker after a restart of the replica.
func TestDeregistrationOfALostWorkerSurvivesASnapshot(t *testing.T) {
	m := newTestMachine(t)
	heartbeat(t, m, 1, 5)
	deregister(t, m, 5)
	restored := restoreCopy(t, m)
	heartbeat(t, restored, 1, 5)
	if restored.data.Workers["w0"] != nil {
		t.Error("registered by a late heartbeat")
	}
	heartbeat(t, restored, 1, 6)
	if restored.data.Workers["w0"] == nil {
		t.Error("not registered by a new heartbeat")
	}
}

// TestLateHeartbeatOfALostWorkerEndsNoRunsOfItsSuccessor guards against a task that runs twice: the VM's clock was set back, so that the lost worker counts as the later one.
func TestLateHeartbeatOfALostWorkerEndsNoRunsOfItsSuccessor(t *testing.T) {
	m := newTestMachine(t)
	heartbeat(t, m, 2, 5)
	sequence := int64(5)
	apply(t, m, Command{Deregister: &Deregister{ID: "w0", Incarnation: 2, Sequence: &sequence}})
	successor := &Worker{ID: "w9", Address: "a0", VM: "v0", Service: "s", Incarnation: 1, Sequence: 1}
	apply(t, m, Command{Register: successor})
	if !start(t, m, id(0, 0), 1, "w9") {
		t.Fatal("not started")
	}
	heartbeat(t, m, 2, 6)
	if m.data.Workers["w9"] == nil || m.executing.on("w9") != 1 {
		t.Error("the late heartbeat has replaced the successor")
	}
}
