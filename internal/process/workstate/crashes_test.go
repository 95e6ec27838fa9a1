package workstate

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// crash starts and crashes a task a number of times and returns the outcome of
// its job.
func crash(t *testing.T, m *Machine, crashes int, alone bool) Outcome {
	t.Helper()
	for run := 1; run <= crashes; run++ {
		start(t, m, id(0, 0), run, "w0")
		apply(t, m, Command{Progress: &Progress{Ends: []End{{Task: id(0, 0), Run: run, Kind: EndCrashed, Alone: alone}}}})
	}
	return m.data.Jobs[testJob].Outcome
}

func TestTaskIsGivenUpAfterItsCrashes(t *testing.T) {
	cases := []struct {
		crashes     int
		alone       bool
		longRunning bool
		want        Outcome
	}{
		{crashes: 1, alone: true, want: Open},
		{crashes: 2, alone: true, want: Open},
		{crashes: 3, alone: true, want: Failed},
		{crashes: 3, want: Open},
		{crashes: 4, want: Failed},
		{crashes: 4, alone: true, longRunning: true, want: Open},
		{crashes: 5, longRunning: true, want: Failed},
	}
	for _, c := range cases {
		m := newTestMachine(t)
		m.data.Jobs[testJob].Spec.Steps[0].LongRunning = c.longRunning
		if got := crash(t, m, c.crashes, c.alone); got != c.want {
			t.Errorf("%+v: outcome %d", c, got)
		}
	}
}

func TestSurvivedStartEndsTheSuspicion(t *testing.T) {
	m := newTestMachine(t)
	crash(t, m, 2, true)
	start(t, m, id(0, 0), 3, "w0")
	apply(t, m, Command{Progress: &Progress{Ends: []End{{Task: id(0, 0), Run: 3, Kind: EndInterrupted, Survived: true}}}})
	if task := m.data.Jobs[testJob].Task(id(0, 0)); task.Crashes != 0 || task.CrashesAlone != 0 {
		t.Errorf("%d crashes, %d alone", task.Crashes, task.CrashesAlone)
	}
}

func TestCrashesAreInTheSnapshot(t *testing.T) {
	m := newTestMachine(t)
	crash(t, m, 1, true)
	restored := restoreCopy(t, m)
	if crashes := restored.data.Jobs[testJob].Task(id(0, 0)).Crashes; crashes != 1 {
		t.Errorf("%d crashes", crashes)
	}
}

// TestDrainOfARestartedWorkerHidesNoCrash guards against a crash that counts for nothing, since the worker's next incarnation ends by order before the leader has recorded it.
func TestDrainOfARestartedWorkerHidesNoCrash(t *testing.T) {
	m := newTestMachine(t)
	start(t, m, id(0, 0), 1, "w0")
	restarted := Worker{ID: "w0", Address: "a0", VM: "v0", Service: "s", Incarnation: 2, Draining: true}
	apply(t, m, Command{Register: &restarted})
	apply(t, m, Command{Register: &Worker{ID: "w9", Address: "a0", VM: "v0", Service: "s", Incarnation: 3}})
	apply(t, m, Command{Progress: &Progress{Ends: []End{{Task: id(0, 0), Run: 1, Kind: EndCrashed}}}})
	if crashes := m.data.Jobs[testJob].Task(id(0, 0)).Crashes; crashes != 1 {
		t.Errorf("%d crashes", crashes)
	}
}

// TestCrashUnderAnInheritedRunCountsForLess guards against a job that is given up at three crashes, one of which was under a run of a former leader that had been executing for long.
func TestCrashUnderAnInheritedRunCountsForLess(t *testing.T) {
	m := newTestMachine(t)
	for run, want := range []Outcome{Open, Open, Open, Failed} {
		start(t, m, id(0, 0), run+1, "w0")
		end := End{Task: id(0, 0), Run: run + 1, Kind: EndCrashed, Alone: run > 0, Uncertain: run == 0}
		apply(t, m, Command{Progress: &Progress{Ends: []End{end}}})
		if outcome := m.data.Jobs[testJob].Outcome; outcome != want {
			t.Errorf("outcome %d after crash %d, expected %d", outcome, run+1, want)
		}
	}
}

// TestSnapshotWithoutInheritedCrashesIsRestored guards against crash counts that are lost with an older snapshot.
func TestSnapshotWithoutInheritedCrashesIsRestored(t *testing.T) {
	type olderTask struct {
		Crashes      int `cbor:"7,keyasint,omitempty"`
		CrashesAlone int `cbor:"8,keyasint,omitempty"`
	}
	encoded, err := cbor.Marshal(olderTask{Crashes: 2, CrashesAlone: 1})
	if err != nil {
		t.Fatal(err)
	}
	var task Task
	if err := cbor.Unmarshal(encoded, &task); err != nil {
		t.Fatal(err)
	}
	if task.Crashes != 2 || task.CrashesAlone != 1 || task.CrashesUncertain != 0 {
		t.Errorf("%+v", task)
	}
}

// TestUncertainCrashesCountForLess guards against a job that is given up for crashes of which none was certainly under a start of its task, and against a deadly task that starts more than five times.
func TestUncertainCrashesCountForLess(t *testing.T) {
	uncertain, certain, alone := End{Uncertain: true}, End{}, End{Alone: true}
	cases := []struct {
		name    string
		crashes []End
		want    Outcome
	}{
		{"one uncertain, two alone", []End{uncertain, alone, alone}, Open},
		{"one uncertain, three alone", []End{uncertain, alone, alone, alone}, Failed},
		{"one certain, two alone", []End{certain, alone, alone}, Failed},
		{"three uncertain, one certain", []End{uncertain, uncertain, certain, uncertain}, Failed},
		{"four uncertain", []End{uncertain, uncertain, uncertain, uncertain}, Open},
		{"five uncertain", []End{uncertain, uncertain, uncertain, uncertain, uncertain}, Failed},
	}
	for _, c := range cases {
		m := newTestMachine(t)
		for i, end := range c.crashes {
			start(t, m, id(0, 0), i+1, "w0")
			end.Task, end.Run, end.Kind = id(0, 0), i+1, EndCrashed
			apply(t, m, Command{Progress: &Progress{Ends: []End{end}}})
		}
		if outcome := m.data.Jobs[testJob].Outcome; outcome != c.want {
			t.Errorf("%s: outcome %d, expected %d", c.name, outcome, c.want)
		}
	}
}

// TestSurvivalClearsItsRunOnly guards against a deadly task that is started on and on because the survival of an earlier run, or of one that has ended, clears it.
func TestSurvivalClearsItsRunOnly(t *testing.T) {
	m := newTestMachine(t)
	survive := func(run int) {
		apply(t, m, Command{Progress: &Progress{Survivals: []Survival{{Task: id(0, 0), Run: run}}}})
	}
	crashes := func() int { return m.data.Jobs[testJob].Task(id(0, 0)).Crashes }
	crash(t, m, 2, true)
	survive(2)
	start(t, m, id(0, 0), 3, "w0")
	survive(2)
	if crashes() != 2 {
		t.Errorf("%d crashes after the survival of other runs", crashes())
	}
	survive(3)
	apply(t, m, Command{Progress: &Progress{Ends: []End{{Task: id(0, 0), Run: 3, Kind: EndCrashed, Uncertain: true}}}})
	if crashes() != 0 {
		t.Errorf("%d crashes after a run that has survived its start", crashes())
	}
	start(t, m, id(0, 0), 4, "w0")
	apply(t, m, Command{Progress: &Progress{Ends: []End{{Task: id(0, 0), Run: 4, Kind: EndCrashed}}}})
	if crashes() != 1 {
		t.Errorf("%d crashes after the next run", crashes())
	}
}
