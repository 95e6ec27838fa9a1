package workstate

import (
	"slices"
	"testing"
)

// endUnreported ends a run whose worker has not reported it.
func endUnreported(t *testing.T, m *Machine, run int) {
	t.Helper()
	apply(t, m, Command{Progress: &Progress{Ends: []End{{Task: id(0, 0), Run: run, Kind: EndInterrupted, Unreported: true}}}})
}

func TestFailureThatIsReportedLateCountsOnce(t *testing.T) {
	m := newTestMachine(t)
	start(t, m, id(0, 0), 1, "w0")
	endUnreported(t, m, 1)
	start(t, m, id(0, 0), 2, "w1")
	for range 2 {
		end(t, m, id(0, 0), 1, EndFailed)
	}
	if task := m.data.Jobs[testJob].Task(id(0, 0)); task.Failures != 1 || task.Phase != Running {
		t.Errorf("%d failures in phase %d, expected 1 in a running task", task.Failures, task.Phase)
	}
	if job := m.data.Jobs[testJob]; job.Outcome != Open {
		t.Errorf("outcome %d with an attempt left", job.Outcome)
	}
}

func TestTaskIsDoneOnceTheRunAfterALateSuccessHasEnded(t *testing.T) {
	m := newTestMachine(t)
	start(t, m, id(0, 0), 1, "w0")
	endUnreported(t, m, 1)
	start(t, m, id(0, 0), 2, "w1")
	end(t, m, id(0, 0), 1, EndDone)
	job := m.data.Jobs[testJob]
	if task := job.Task(id(0, 0)); !task.Succeeded || task.Phase != Running || job.Executing != 1 {
		t.Errorf("after the late success: %+v, %d executing", *task, job.Executing)
	}
	end(t, m, id(0, 0), 2, EndFailed)
	if task := job.Task(id(0, 0)); task.Phase != Done || task.Failures != 0 || job.Executing != 0 {
		t.Errorf("after the end of the second run: %+v, %d executing", *task, job.Executing)
	}
	if job.Occurrences[0].Steps[0].Done != 1 {
		t.Errorf("%d tasks done, expected 1", job.Occurrences[0].Steps[0].Done)
	}
}

func TestSuccessOfARunThatWasReportedAsInterruptedDoesNotCount(t *testing.T) {
	m := newTestMachine(t)
	start(t, m, id(0, 0), 1, "w0")
	end(t, m, id(0, 0), 1, EndInterrupted)
	end(t, m, id(0, 0), 1, EndDone)
	if task := m.data.Jobs[testJob].Task(id(0, 0)); task.Phase != Waiting {
		t.Errorf("phase %d", task.Phase)
	}
}

func TestUnreportedRunsAreBounded(t *testing.T) {
	m := newTestMachine(t)
	for run := range 3 * maxUnreportedRuns {
		start(t, m, id(0, 0), run+1, "w0")
		endUnreported(t, m, run+1)
	}
	runs := m.data.Jobs[testJob].Task(id(0, 0)).UnreportedRuns
	if len(runs) != maxUnreportedRuns || !slices.Contains(runs, 3*maxUnreportedRuns) {
		t.Errorf("unreported runs %v", runs)
	}
}
