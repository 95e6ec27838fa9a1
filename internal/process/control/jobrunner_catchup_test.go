package control

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workerapi"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
)

// laggingReplica is the replica of a leader that has not applied all committed
// commands. ReadBarrier and Propose apply them.
type laggingReplica struct {
	*thawedReplica

	mu        sync.Mutex
	committed [][]byte
}

func (r *laggingReplica) catchUp(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, command := range r.committed {
		_, _ = r.thawedReplica.Propose(ctx, command)
	}
	r.committed = nil
}

func (r *laggingReplica) ReadBarrier(ctx context.Context) error {
	r.catchUp(ctx)
	return nil
}

func (r *laggingReplica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	r.catchUp(ctx)
	return r.thawedReplica.Propose(ctx, command)
}

// fakeWorker answers all calls alike and records the attempts that it may forget.
type fakeWorker struct {
	tasks []workerapi.TaskInfo
	err   error
	// catchesUp is set if the leader applies all commands during the first call.
	catchesUp bool
	replica   *laggingReplica

	mu        sync.Mutex
	forgotten []workerapi.TaskRef
}

func (w *fakeWorker) Sync(ctx context.Context, _ string, body workerapi.Sync) (workerapi.SyncAnswer, error) {
	if w.catchesUp {
		w.replica.catchUp(ctx)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forgotten = append(w.forgotten, body.Forget...)
	return workerapi.SyncAnswer{Now: workerapi.Stamp{Boot: "b", MS: 1}, Tasks: w.tasks}, w.err
}

// runNewLeader runs a new leader for two rounds. It has applied the placement of
// job j, but not the submission and the placement of job late that its
// predecessor committed.
func runNewLeader(t *testing.T, worker *fakeWorker) *Server {
	t.Helper()
	runner, replica, _ := newTestRunner(t)
	server := runner.server
	spec := state.JobSpec{ID: "late", Team: "red", Kind: "k", Declared: fleet.Resources{CPUCores: 1, MemoryGiB: 1}}
	placement := state.JobPlacement{Job: "late", Worker: "w", Reservation: spec.Declared}
	lagging := &laggingReplica{thawedReplica: replica, committed: [][]byte{
		encodeCommand(t, state.SubmitJobs, state.JobSubmission{Jobs: []state.JobSpec{spec}}),
		encodeCommand(t, state.StepJobs, state.JobSteps{Placements: []state.JobPlacement{placement}}),
	}}
	server.replica, worker.replica = lagging, lagging
	ctx, cancel := context.WithTimeout(t.Context(), 2*roundInterval+roundInterval/2)
	defer cancel()
	newJobRunner(server, worker).run(ctx)
	lagging.catchUp(t.Context())
	return server
}

func encodeCommand(t *testing.T, kind state.Kind, body any) []byte {
	t.Helper()
	command, err := state.Encode(kind, time.Now().UnixMilli(), body)
	if err != nil {
		t.Fatal(err)
	}
	return command
}

// TestNewLeaderDoesNotHaveAnUnrecordedSuccessForgotten guards against a job that runs again: a leader that has not applied the placement of an attempt tells its worker to forget its success.
func TestNewLeaderDoesNotHaveAnUnrecordedSuccessForgotten(t *testing.T) {
	worker := &fakeWorker{tasks: []workerapi.TaskInfo{{Job: "j", Epoch: 1, State: workerapi.Running}, {Job: "late", Epoch: 1, State: workerapi.Done}}}
	server := runNewLeader(t, worker)
	if job, _ := server.machine.JobView("late"); len(worker.forgotten) > 0 && job.Phase != jobplan.Done {
		t.Errorf("the worker may forget %v, and the job is %s", worker.forgotten, job.Phase)
	}
}

// TestNewLeaderKeepsTheLeaseOfAnAttemptItHasNotApplied guards against two attempts at the same time: a leader that has not applied a placement counts no lease for it, and takes it for lost at once.
func TestNewLeaderKeepsTheLeaseOfAnAttemptItHasNotApplied(t *testing.T) {
	server := runNewLeader(t, &fakeWorker{err: errors.New("unreachable"), catchesUp: true})
	if job, _ := server.machine.JobView("late"); job.Phase != jobplan.Running || job.Lost != 0 {
		t.Errorf("the attempt counts as lost within its lease: %+v", job)
	}
}
