package workstate

import (
	"testing"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestTaskIsDoneOnceAlthoughItsLastRunReportsLate guards against a step that counts a done task twice.
func TestTaskIsDoneOnceAlthoughItsLastRunReportsLate(t *testing.T) {
	m := newTestMachine(t)
	start(t, m, id(0, 0), 1, "w0")
	endUnreported(t, m, 1)
	start(t, m, id(0, 0), 2, "w1")
	end(t, m, id(0, 0), 1, EndDone)
	endUnreported(t, m, 2)
	end(t, m, id(0, 0), 2, EndDone)
	if step := m.data.Jobs[testJob].Occurrences[0].Steps[0]; step.Done != 1 {
		t.Errorf("%d tasks done, expected 1; %d waiting", step.Done, step.Waiting())
	}
}

// TestLateFailureOfADoneTaskDoesNotCount guards against a job that fails by a run that nobody needed.
func TestLateFailureOfADoneTaskDoesNotCount(t *testing.T) {
	m := newTestMachine(t)
	start(t, m, id(0, 0), 1, "w0")
	endUnreported(t, m, 1)
	start(t, m, id(0, 0), 2, "w1")
	end(t, m, id(0, 0), 1, EndDone)
	endUnreported(t, m, 2)
	end(t, m, id(0, 0), 2, EndFailed)
	if task := m.data.Jobs[testJob].Task(id(0, 0)); task.Failures != 0 {
		t.Errorf("%d failures of a done task", task.Failures)
	}
}

// TestRepeatedInterruptionKeepsTheSuccessOfAnUnreportedRun guards against a success that is dropped: the run was forgotten when its interruption was recorded a second time.
func TestRepeatedInterruptionKeepsTheSuccessOfAnUnreportedRun(t *testing.T) {
	m := newTestMachine(t)
	start(t, m, id(0, 0), 1, "w0")
	endUnreported(t, m, 1)
	endUnreported(t, m, 1)
	end(t, m, id(0, 0), 1, EndDone)
	if task := m.data.Jobs[testJob].Task(id(0, 0)); task.Phase != Done {
		t.Errorf("phase %d after the success of run 1", task.Phase)
	}
}

// TestMemberOfALongRunningGangIsNeverDone guards against a long-running task that is not restarted.
func TestMemberOfALongRunningGangIsNeverDone(t *testing.T) {
	m := newTestMachine(t)
	step := workload.Step{Count: 2, Need: workload.Resources{MilliCPU: 1}, Gang: true, LongRunning: true}
	submitted := Submit{ID: "1111111111111111", Host: "h", Path: "/q/1111111111111111", Spec: workload.Spec{Payload: "p", Steps: []workload.Step{step}}}
	if result := apply(t, m, Command{Submit: &submitted}); result.Code != OK {
		t.Fatalf("submit: %+v", result)
	}
	first := workload.TaskID{Job: submitted.ID}
	second := workload.TaskID{Job: submitted.ID, Index: 1}
	start(t, m, first, 1, "w0")
	start(t, m, second, 1, "w1")
	end(t, m, first, 1, EndInterrupted)
	end(t, m, first, 1, EndDone)
	if task := m.data.Jobs[submitted.ID].Task(first); task.Phase != Waiting {
		t.Errorf("phase %d, expected that the task waits for its restart", task.Phase)
	}
}
