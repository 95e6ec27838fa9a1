package control

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workerapi"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
)

// jobDocument declares one worker, whose whole capacity is available to jobs.
const jobDocument = `{
  "schema": 1, "deployment": "jobs",
  "zones": [{"name": "z", "racks": ["r"]}],
  "pools": [{"name": "p", "job_share": 1, "tolerate": {"racks": 0, "vms": 0}}],
  "vms": [{"name": "w", "pool": "p", "zone": "z", "rack": "r", "cpu_cores": 8, "memory_gib": 8}],
  "services": [],
  "teams": [{"name": "red", "quota": {"cpu_cores": 20, "memory_gib": 32}}],
  "weights": {"buffer": 1, "rollout": 1, "moves": 1}
}`

// thawedReplica is the replica of a leader that has just been suspended: its
// status is older than the suspension.
type thawedReplica struct {
	*fakeReplica
	unconfirmed time.Duration
}

func (r *thawedReplica) Status() replica.Status {
	return replica.Status{ID: "c1", Leader: "c1", Role: "leader", Term: 1, Unconfirmed: r.unconfirmed}
}

// recordedSyncs answers all calls to workers and records the ordered tasks.
type recordedSyncs struct{ tasks []workerapi.TaskOrder }

func (c *recordedSyncs) Sync(_ context.Context, _ string, body workerapi.Sync) (workerapi.SyncAnswer, error) {
	c.tasks = append(c.tasks, body.Tasks...)
	return workerapi.SyncAnswer{Now: workerapi.Stamp{Boot: "b", MS: 1}}, nil
}

// newTestRunner returns a job runner that has placed a job whose order is not sent yet.
func newTestRunner(t *testing.T) (*jobRunner, *thawedReplica, *recordedSyncs) {
	t.Helper()
	machine := state.NewMachine()
	r := &thawedReplica{fakeReplica: &fakeReplica{machine: machine}}
	server := &Server{
		settings: &settings.Control{ID: "c1"}, replica: r, machine: machine, recorder: timeline.NewRecorder("c1", "z"), log: slog.New(slog.DiscardHandler),
	}
	calls := &recordedSyncs{}
	runner := newJobRunner(server, calls)
	if _, err := propose[state.DocumentSubmissionAnswer](t.Context(), server, state.SubmitDocument, state.DocumentSubmission{Text: []byte(jobDocument), By: "test"}); err != nil {
		t.Fatal(err)
	}
	spec := state.JobSpec{ID: "j", Team: "red", Kind: "k", Declared: fleet.Resources{CPUCores: 1, MemoryGiB: 1}}
	if _, err := propose[state.JobSubmissionAnswer](t.Context(), server, state.SubmitJobs, state.JobSubmission{Jobs: []state.JobSpec{spec}}); err != nil {
		t.Fatal(err)
	}
	if placed, err := runner.step(t.Context()); err != nil || !placed {
		t.Fatalf("placed %t, error %v", placed, err)
	}
	return runner, r, calls
}

// TestThawedLeaderSendsNoTasks guards against two attempts of a job at the same time: the next leader has counted the placement as lost, at a worker that it does not reach.
func TestThawedLeaderSendsNoTasks(t *testing.T) {
	runner, replica, calls := newTestRunner(t)
	replica.unconfirmed = 10 * time.Second
	runner.syncWorkers(t.Context())
	if len(calls.tasks) > 0 {
		t.Errorf("%d tasks ordered 10 s after the last contact to a majority", len(calls.tasks))
	}
}

// recordLost records the loss of the newest attempt of the job.
func recordLost(t *testing.T, runner *jobRunner) {
	t.Helper()
	job, _ := runner.server.machine.JobView("j")
	lost := state.TaskReports{Reports: []state.TaskReport{{Job: "j", Epoch: job.Epoch, Outcome: state.TaskLost}}}
	if _, err := propose[state.TaskReportsAnswer](t.Context(), runner.server, state.ReportTasks, lost); err != nil {
		t.Fatal(err)
	}
}

// TestSuccessOfALostAttemptIsNotForgotten guards against a job that runs again: a worker is told to forget a success that the state has not recorded.
func TestSuccessOfALostAttemptIsNotForgotten(t *testing.T) {
	runner, _, _ := newTestRunner(t)
	recordLost(t, runner)
	runner.reportFor("w", workerapi.TaskInfo{Job: "j", Epoch: 1, State: workerapi.Done})
	if job, _ := runner.server.machine.JobView("j"); len(runner.forgettable["w"]) > 0 {
		t.Errorf("the worker may forget a success of the job, which is %s", job.Phase)
	}
}

// TestSuccessOfALostAttemptCountsAndIsForgottenOnceRecorded guards against a job that runs again, and against a success that is listed forever.
func TestSuccessOfALostAttemptCountsAndIsForgottenOnceRecorded(t *testing.T) {
	done := map[string]workerapi.SyncAnswer{"w": {Tasks: []workerapi.TaskInfo{{Job: "j", Epoch: 1, State: workerapi.Done}}}}
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprint("restarted=", restarted), func(t *testing.T) {
			runner, _, calls := newTestRunner(t)
			recordLost(t, runner)
			if restarted {
				if _, err := runner.step(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			if err := runner.record(t.Context(), done); err != nil {
				t.Fatal(err)
			}
			if len(runner.forgettable["w"]) > 0 {
				t.Error("the worker may forget the success before the state shows it")
			}
			runner.syncWorkers(t.Context())
			job, _ := runner.server.machine.JobView("j")
			stopped := len(calls.tasks) == 1 && calls.tasks[0].Epoch == 2 && calls.tasks[0].Order == jobplan.Stop
			if restarted && !stopped || !restarted && job.Phase != jobplan.Done {
				t.Errorf("job %+v, ordered %+v", job, calls.tasks)
			}
			if err := runner.record(t.Context(), done); err != nil {
				t.Fatal(err)
			}
			if len(runner.forgettable["w"]) != 1 {
				t.Error("the worker may not forget the success that the state shows")
			}
		})
	}
}

// TestFailureOfALostAttemptIsForgotten guards against an end that is listed forever, though nothing follows from it.
func TestFailureOfALostAttemptIsForgotten(t *testing.T) {
	for _, ended := range []workerapi.TaskState{workerapi.Failed, workerapi.Stopped} {
		runner, _, _ := newTestRunner(t)
		recordLost(t, runner)
		if report, changed := runner.reportFor("w", workerapi.TaskInfo{Job: "j", Epoch: 1, State: ended}); changed || len(runner.forgettable["w"]) != 1 {
			t.Errorf("report %+v, changed %t, forgettable %v", report, changed, runner.forgettable)
		}
	}
}
