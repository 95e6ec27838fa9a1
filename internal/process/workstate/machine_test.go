package workstate

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const testJob = "aaaaaaaaaaaaaaaa"

// apply applies one command and returns its result.
func apply(t *testing.T, m *Machine, c Command) Result {
	t.Helper()
	encoded, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var result Result
	if err := cbor.Unmarshal(m.Apply(1, encoded), &result); err != nil {
		t.Fatal(err)
	}
	return result
}

func testCatalog(version int64) *catalog.Catalog {
	return &catalog.Catalog{
		Version:  version,
		Queues:   []catalog.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", MaxAttempts: 2}},
		Services: []catalog.Service{{Name: "s"}},
	}
}

// newTestMachine returns a machine with a catalog, two workers and a job of two
// steps.
func newTestMachine(t *testing.T) *Machine {
	m := NewMachine()
	apply(t, m, Command{Catalog: testCatalog(1)})
	for i := range 2 {
		apply(t, m, Command{Register: &Worker{ID: fmt.Sprint("w", i), Address: fmt.Sprint("a", i), VM: fmt.Sprint("v", i), Service: "s", Incarnation: 1}})
	}
	steps := []workload.Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}}
	apply(t, m, Command{Submit: &Submit{ID: testJob, Host: "h", Path: "/q/" + testJob, Spec: workload.Spec{Payload: "p", Steps: steps}}})
	return m
}

func id(step, index int) workload.TaskID {
	return workload.TaskID{Job: testJob, Step: step, Index: index}
}

func start(t *testing.T, m *Machine, task workload.TaskID, run int, worker string) bool {
	t.Helper()
	return apply(t, m, Command{Progress: &Progress{Starts: []Start{{Task: task, Run: run, Worker: worker, Incarnation: 1}}}}).Started[0]
}

func end(t *testing.T, m *Machine, task workload.TaskID, run int, kind EndKind) {
	t.Helper()
	apply(t, m, Command{Progress: &Progress{Ends: []End{{Task: task, Run: run, Kind: kind}}}})
}

func TestTaskHasAtMostOneActiveRun(t *testing.T) {
	m := newTestMachine(t)
	if !start(t, m, id(0, 0), 1, "w0") {
		t.Fatal("first start refused")
	}
	if start(t, m, id(0, 0), 2, "w1") {
		t.Error("a second run was started beside the first")
	}
	end(t, m, id(0, 0), 1, EndInterrupted)
	if start(t, m, id(0, 0), 1, "w1") {
		t.Error("a run number was used twice")
	}
	if !start(t, m, id(0, 0), 2, "w1") {
		t.Error("an interrupted task was not started again")
	}
	end(t, m, id(0, 0), 1, EndDone)
	if m.data.Jobs[testJob].Task(id(0, 0)).Phase != Running {
		t.Error("the end of an earlier run ended the newest one")
	}
}

func TestStepWaitsForItsDependencies(t *testing.T) {
	m := newTestMachine(t)
	if start(t, m, id(1, 0), 1, "w0") {
		t.Error("started before the steps that it depends on")
	}
	for i := range 2 {
		start(t, m, id(0, i), 1, "w0")
		end(t, m, id(0, i), 1, EndDone)
	}
	if start(t, m, id(0, 0), 2, "w0") {
		t.Error("started again after it was done")
	}
	if !start(t, m, id(1, 0), 1, "w0") {
		t.Error("refused after the steps that it depends on")
	}
	end(t, m, id(1, 0), 1, EndDone)
	if m.data.Jobs[testJob].Outcome != Succeeded {
		t.Error("the job has not succeeded")
	}
}

func TestOnlyFailuresCountAsAttempts(t *testing.T) {
	m := newTestMachine(t)
	for run, kind := range []EndKind{EndInterrupted, EndFailed, EndInterrupted} {
		start(t, m, id(0, 0), run+1, "w0")
		end(t, m, id(0, 0), run+1, kind)
	}
	if m.data.Jobs[testJob].Outcome != Open {
		t.Fatal("failed after one failure of two")
	}
	start(t, m, id(0, 0), 4, "w0")
	end(t, m, id(0, 0), 4, EndFailed)
	if m.data.Jobs[testJob].Outcome != Failed || start(t, m, id(0, 1), 1, "w0") {
		t.Error("the job continues after its last attempt")
	}
}

func TestCancelledJobStartsNoTasks(t *testing.T) {
	m := newTestMachine(t)
	start(t, m, id(0, 0), 1, "w0")
	apply(t, m, Command{Cancel: &Cancel{ID: testJob}})
	if start(t, m, id(0, 1), 1, "w0") {
		t.Error("started after the cancel")
	}
	if len(m.active) != 1 {
		t.Error("a cancelled job is not active although a task executes")
	}
	end(t, m, id(0, 0), 1, EndInterrupted)
	if len(m.active) != 0 {
		t.Error("a cancelled job stays active")
	}
	if again := apply(t, m, Command{Cancel: &Cancel{ID: testJob}}); again.Code != OK || !again.Repeated {
		t.Errorf("second cancel %+v", again)
	}
}

func TestOlderOrRepeatedConfigurationIsNotApplied(t *testing.T) {
	m := newTestMachine(t)
	apply(t, m, Command{Catalog: testCatalog(7)})
	for _, version := range []int64{7, 3} {
		if r := apply(t, m, Command{Catalog: testCatalog(version)}); r.Code != OK || !r.Repeated || r.Version != 7 {
			t.Errorf("version %d: %+v", version, r)
		}
	}
}

func TestRepeatedSubmitKeepsExistingJob(t *testing.T) {
	m := newTestMachine(t)
	r := apply(t, m, Command{Submit: &Submit{ID: testJob, Host: "h", Path: "/q/" + testJob, Spec: workload.Spec{Steps: []workload.Step{{Count: 9}}}}})
	if r.Code != OK || !r.Repeated || m.data.Jobs[testJob].Spec.Steps[0].Count != 2 {
		t.Errorf("%+v", r)
	}
	if r := apply(t, m, Command{Submit: &Submit{ID: "b", Host: "h", Path: "/other/b"}}); r.Code != UnknownQueue {
		t.Errorf("no queue: %+v", r)
	}
}

func TestLaterIncarnationReplacesWorkerWithSameAddressOrVM(t *testing.T) {
	m := newTestMachine(t)
	start(t, m, id(0, 0), 1, "w0")
	apply(t, m, Command{Register: &Worker{ID: "late", Address: "a0", Service: "s", Incarnation: 0}})
	if m.data.Workers["w0"] == nil {
		t.Fatal("an older incarnation replaced a newer one")
	}
	apply(t, m, Command{Register: &Worker{ID: "new", Address: "a0", VM: "other", Service: "s", Incarnation: 5}})
	if m.data.Workers["w0"] != nil || m.data.Jobs[testJob].Executing != 0 {
		t.Error("the former worker of the address is still registered")
	}
}

func TestRunOfCrashedWorkerLastsUntilItsEndIsRecorded(t *testing.T) {
	m := newTestMachine(t)
	start(t, m, id(0, 0), 1, "w0")
	apply(t, m, Command{Register: &Worker{ID: "new", Address: "other", VM: "v0", Service: "s", Incarnation: 5}})
	if m.data.Workers["w0"] != nil {
		t.Error("the former worker of the VM is still registered")
	}
	if start(t, m, id(0, 0), 2, "w1") {
		t.Error("a second run was started beside the first")
	}
	end(t, m, id(0, 0), 1, EndCrashed)
	if task := m.data.Jobs[testJob].Task(id(0, 0)); task.Crashes != 1 || m.data.Jobs[testJob].Executing != 0 {
		t.Errorf("%d crashes, %d executing", task.Crashes, m.data.Jobs[testJob].Executing)
	}
	if !start(t, m, id(0, 0), 2, "w1") {
		t.Error("the task was not started again")
	}
}

func TestExpectedEndOfAWorkerEndsItsRunsAtOnce(t *testing.T) {
	next := Worker{ID: "new", Address: "a0", VM: "v0", Service: "s", Incarnation: 5}
	moved := next
	moved.Service = "other"
	draining := Worker{ID: "w0", Address: "a0", VM: "v0", Service: "s", Incarnation: 1, Draining: true}
	cases := map[string][]Command{
		"moved":       {{Register: &moved}},
		"drained":     {{Register: &draining}, {Register: &next}},
		"maintenance": {{Wave: &Wave{Number: 1, VMs: []string{"v0"}}}, {Maintenance: &Maintenance{Wave: 1, VM: "v0"}}, {Register: &next}},
	}
	for name, commands := range cases {
		m := newTestMachine(t)
		start(t, m, id(0, 0), 1, "w0")
		for _, c := range commands {
			apply(t, m, c)
		}
		if task := m.data.Jobs[testJob].Task(id(0, 0)); task.Phase != Waiting || task.Crashes != 0 {
			t.Errorf("%s: phase %d, %d crashes", name, task.Phase, task.Crashes)
		}
	}
}

func TestStartOnDrainingOrRestartedWorkerIsRefused(t *testing.T) {
	m := newTestMachine(t)
	apply(t, m, Command{Register: &Worker{ID: "w0", Address: "a0", VM: "v0", Service: "s", Incarnation: 1, Draining: true}})
	apply(t, m, Command{Register: &Worker{ID: "w1", Address: "a1", VM: "v1", Service: "s", Incarnation: 9}})
	if start(t, m, id(0, 0), 1, "w0") || start(t, m, id(0, 0), 1, "w1") {
		t.Error("started on a draining worker, or on an incarnation that has ended")
	}
}

// TestRandomCommandsKeepStateConsistent applies random commands and checks the
// counters of the state after each, and that a snapshot restores the state.
func TestRandomCommandsKeepStateConsistent(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		m := newTestMachine(t)
		for range 60 {
			task := id(random.IntN(2), random.IntN(2))
			worker := fmt.Sprint("w", random.IntN(2))
			switch random.IntN(8) {
			case 0, 1, 2:
				if task.Step == 1 {
					task.Index = 0
				}
				start(t, m, task, 1+random.IntN(6), worker)
			case 3, 4, 5:
				end(t, m, task, 1+random.IntN(6), EndKind(1+random.IntN(4)))
			case 6:
				apply(t, m, Command{Register: &Worker{ID: worker, Address: "a" + worker[1:], VM: "v" + worker[1:], Service: "s", Incarnation: 1}})
			case 7:
				apply(t, m, Command{Deregister: &Deregister{ID: worker, Incarnation: 1}})
			}
			checkCounters(t, seed, m)
		}
		restored := restoreCopy(t, m)
		if len(restored.active) != len(m.active) || len(restored.data.Workers) != len(m.data.Workers) {
			t.Fatalf("seed %d: a restored state differs", seed)
		}
		checkExecuting(t, seed, restored)
		if restored.active[testJob] != nil {
			checkCounters(t, seed, restored)
		}
	}
}

func checkCounters(t *testing.T, seed uint64, m *Machine) {
	t.Helper()
	job := m.data.Jobs[testJob]
	executing := 0
	job.EachExecuting(func(task workload.TaskID, p *Task) {
		executing++
		if m.data.Workers[p.Worker] == nil {
			t.Fatalf("seed %d: %s executes on a worker that is not registered", seed, task)
		}
	})
	if executing != job.Executing {
		t.Fatalf("seed %d: %d tasks execute, %d are counted", seed, executing, job.Executing)
	}
	if (job.Outcome == Open || executing > 0) != (m.active[testJob] != nil) {
		t.Fatalf("seed %d: outcome %d with %d executing, active %t", seed, job.Outcome, executing, m.active[testJob] != nil)
	}
	checkExecuting(t, seed, m)
	for _, o := range job.Occurrences {
		for s := range o.Steps {
			done, running := 0, 0
			for _, task := range o.Steps[s].Tasks {
				switch task.Phase {
				case Done:
					done++
				case Running:
					running++
				}
			}
			if running != o.Steps[s].Running {
				t.Fatalf("seed %d: step %d has %d running tasks, %d are counted", seed, s, running, o.Steps[s].Running)
			}
			if done != o.Steps[s].Done {
				t.Fatalf("seed %d: step %d has %d done tasks, %d are counted", seed, s, done, o.Steps[s].Done)
			}
		}
	}
}

// checkExecuting compares the runs counted by worker with the tasks.
func checkExecuting(t *testing.T, seed uint64, m *Machine) {
	t.Helper()
	counted := executingRuns{}
	for _, job := range m.data.Jobs {
		job.EachExecuting(func(_ workload.TaskID, task *Task) { counted.add(task.Worker, task.Incarnation) })
	}
	if len(counted) != len(m.executing) {
		t.Fatalf("seed %d: %d workers have runs, %d are counted", seed, len(counted), len(m.executing))
	}
	for worker, counts := range counted {
		for _, c := range counts {
			if got := m.executing.onIncarnation(worker, c.incarnation); got != c.runs || m.executing.on(worker) < got {
				t.Fatalf("seed %d: %d runs on %s.%d, %d are counted", seed, c.runs, worker, c.incarnation, got)
			}
		}
		if len(counts) != len(m.executing[worker]) {
			t.Fatalf("seed %d: %d incarnations of %s have runs, %d are counted", seed, len(counts), worker, len(m.executing[worker]))
		}
	}
}

// TestDrainOfALeavingWorkerIsNotTakenBack guards against new tasks on a worker whose heartbeat from before its announcement is committed after it.
func TestDrainOfALeavingWorkerIsNotTakenBack(t *testing.T) {
	m := newTestMachine(t)
	start(t, m, id(0, 0), 1, "w0")
	if got := apply(t, m, Command{Deregister: &Deregister{ID: "w0", Incarnation: 1, Announced: true}}); got.Code != Busy {
		t.Fatalf("code %d", got.Code)
	}
	ready := *m.data.Workers["w0"]
	ready.Draining, ready.Capacity.MilliCPU = false, 1
	apply(t, m, Command{Register: &ready})
	if w := m.data.Workers["w0"]; !w.Draining || !w.Leaving {
		t.Errorf("draining %v, leaving %v", w.Draining, w.Leaving)
	}
}

// TestLateHeartbeatDoesNotBringBackAWorkerThatHasLeft guards against tasks on a worker that has announced its end.
func TestLateHeartbeatDoesNotBringBackAWorkerThatHasLeft(t *testing.T) {
	m := newTestMachine(t)
	ready := *m.data.Workers["w0"]
	apply(t, m, Command{Deregister: &Deregister{ID: "w0", Incarnation: ready.Incarnation, Announced: true}})
	late := ready
	if apply(t, m, Command{Register: &late}); m.data.Workers["w0"] != nil {
		t.Error("the worker is registered again")
	}
	next := ready
	next.Incarnation++
	if apply(t, m, Command{Register: &next}); m.data.Workers["w0"] == nil {
		t.Error("the next incarnation is not registered")
	}
}

// TestWorkerThatHasLeftStartsAgainWithAnEarlierClock guards against a worker whose heartbeats are acknowledged and that never gets a task.
func TestWorkerThatHasLeftStartsAgainWithAnEarlierClock(t *testing.T) {
	m := newTestMachine(t)
	next := *m.data.Workers["w0"]
	apply(t, m, Command{Deregister: &Deregister{ID: "w0", Incarnation: next.Incarnation, Announced: true}})
	next.Incarnation--
	if apply(t, m, Command{Register: &next}); m.data.Workers["w0"] == nil {
		t.Error("the next incarnation is not registered")
	}
}

// TestLargeStateIsRestored guards against a state that no process can start with again: the decoder's own limits of maps and arrays are below what the state may hold.
func TestLargeStateIsRestored(t *testing.T) {
	const count = 140_000
	m := newTestMachine(t)
	for i := range count {
		id := fmt.Sprintf("%016x", i)
		m.data.Jobs[id] = &Job{ID: id, Outcome: Succeeded}
	}
	m.data.Jobs[testJob].ensureOccurrence(count - 1)
	restored := restoreCopy(t, m)
	if got := len(restored.data.Jobs[testJob].Occurrences); len(restored.data.Jobs) != len(m.data.Jobs) || got != count {
		t.Errorf("%d jobs, %d occurrences", len(restored.data.Jobs), got)
	}
}

// restoreCopy returns a machine with the state of a snapshot of another one.
func restoreCopy(t *testing.T, m *Machine) *Machine {
	t.Helper()
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(1, snapshot); err != nil {
		t.Fatal(err)
	}
	return restored
}
