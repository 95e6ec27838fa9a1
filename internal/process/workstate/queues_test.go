package workstate

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// catalogWithLimit returns a catalog whose queue has a limit of attempts.
func catalogWithLimit(version int64, limit int) *catalog.Catalog {
	c := testCatalog(version)
	c.Queues[0].MaxAttempts = limit
	return c
}

// catalogWithoutQueue returns a catalog that has no queue.
func catalogWithoutQueue(version int64) *catalog.Catalog {
	c := testCatalog(version)
	c.Queues = nil
	return c
}

// failUntilRefused starts failing runs of the first task until one is refused, and
// returns their number.
func failUntilRefused(t *testing.T, m *Machine) int {
	t.Helper()
	runs := 0
	for runs < 10*unknownMaxAttempts && failRun(t, m, runs+1) {
		runs++
	}
	return runs
}

// failRun starts a run of the first task, which fails, if it is started.
func failRun(t *testing.T, m *Machine, run int) bool {
	t.Helper()
	started := start(t, m, id(0, 0), run, "w0")
	if started {
		end(t, m, id(0, 0), run, EndFailed)
	}
	return started
}

func outcome(m *Machine) Outcome { return m.data.Jobs[testJob].Outcome }

// TestAttemptsStayLimitedAfterTheQueueIsRemoved guards against a failing task that is started without an end, and a job without an answer, once its queue is removed.
func TestAttemptsStayLimitedAfterTheQueueIsRemoved(t *testing.T) {
	m := newTestMachine(t)
	apply(t, m, Command{Catalog: catalogWithoutQueue(2)})
	apply(t, m, Command{Catalog: catalogWithoutQueue(3)})
	if runs := failUntilRefused(t, m); runs != 2 || outcome(m) != Failed {
		t.Errorf("%d runs at a limit of 2, outcome %d", runs, outcome(m))
	}
}

// TestLateFailureCountsAfterTheQueueIsRemoved guards against a limit that holds only for failures that are reported in time.
func TestLateFailureCountsAfterTheQueueIsRemoved(t *testing.T) {
	m := newTestMachine(t)
	start(t, m, id(0, 0), 1, "w0")
	endUnreported(t, m, 1)
	apply(t, m, Command{Catalog: catalogWithoutQueue(2)})
	failRun(t, m, 2)
	end(t, m, id(0, 0), 1, EndFailed)
	if outcome(m) != Failed {
		t.Errorf("outcome %d after two failures at a limit of 2", outcome(m))
	}
}

// TestLoweredLimitEndsAJobThatHasUsedItUp guards against a start beyond the limit that has come into force.
func TestLoweredLimitEndsAJobThatHasUsedItUp(t *testing.T) {
	for _, running := range []bool{false, true} {
		m := newTestMachine(t)
		apply(t, m, Command{Catalog: catalogWithLimit(2, 4)})
		failRun(t, m, 1)
		failRun(t, m, 2)
		if running {
			start(t, m, id(0, 0), 3, "w0")
		}
		apply(t, m, Command{Catalog: catalogWithLimit(3, 2)})
		if running {
			if outcome(m) != Open {
				t.Errorf("outcome %d while a run executes that may succeed", outcome(m))
			}
			end(t, m, id(0, 0), 3, EndInterrupted)
		}
		if start(t, m, id(0, 0), 4, "w0") || outcome(m) != Failed {
			t.Errorf("running %t: started after two failures at a limit of 2, or outcome %d", running, outcome(m))
		}
	}
}

// TestRemovedQueueAppliesAsLastKnownUntilItReturns guards against jobs that lose their rank and priority with their queue, or keep a limit that a later version has replaced.
func TestRemovedQueueAppliesAsLastKnownUntilItReturns(t *testing.T) {
	m := newTestMachine(t)
	withPriority := catalogWithLimit(2, 3)
	withPriority.Queues[0].Priority = 1
	apply(t, m, Command{Catalog: withPriority})
	apply(t, m, Command{Catalog: catalogWithoutQueue(3)})
	restored := restoreCopy(t, m)
	for _, machine := range []*Machine{m, restored} {
		machine.Read(func(v *View) {
			if queue := v.Queue("h/q/"); queue == nil || queue.Priority != 1 || queue.MaxAttempts != 3 {
				t.Errorf("removed queue: %+v", queue)
			}
		})
	}
	apply(t, m, Command{Catalog: catalogWithLimit(4, 5)})
	m.Read(func(v *View) {
		if queue := v.Queue("h/q/"); queue.Priority != 0 || queue.MaxAttempts != 5 {
			t.Errorf("queue that has returned: %+v", queue)
		}
	})
	if len(m.data.Removed) > 0 {
		t.Errorf("%d queues are kept as removed", len(m.data.Removed))
	}
	apply(t, m, Command{Cancel: &Cancel{ID: testJob}})
	apply(t, m, Command{Catalog: catalogWithoutQueue(5)})
	if len(m.data.Removed) != 1 {
		t.Errorf("%d queues are kept, expected that of the ended job", len(m.data.Removed))
	}
	apply(t, m, Command{PurgeJobs: &PurgeJobs{EndedBeforeMS: m.data.ClockMS + 1}})
	apply(t, m, Command{Catalog: catalogWithoutQueue(6)})
	if len(m.data.Removed) > 0 {
		t.Errorf("%d queues without jobs are kept", len(m.data.Removed))
	}
}

// TestStateOfAFormerVersionWithoutTheQueueHasALimit guards against a job without an answer whose queue was removed before the state kept removed queues.
func TestStateOfAFormerVersionWithoutTheQueueHasALimit(t *testing.T) {
	for _, failures := range []int{0, 40} {
		m := newTestMachine(t)
		m.data.Jobs[testJob].ensureOccurrence(0)
		m.data.Jobs[testJob].Task(id(0, 0)).Failures = failures
		m.data.Catalog = *catalogWithoutQueue(2)
		snapshot, err := cbor.Marshal(m.data)
		if err != nil {
			t.Fatal(err)
		}
		m = NewMachine()
		if err := m.Restore(1, snapshot); err != nil {
			t.Fatal(err)
		}
		runs, wanted := failUntilRefused(t, m), max(0, unknownMaxAttempts-failures)
		if runs != wanted || outcome(m) != Failed {
			t.Errorf("%d runs after %d failures, expected %d; outcome %d", runs, failures, wanted, outcome(m))
		}
	}
}

// TestRandomCatalogsNeverLetATaskStartBeyondItsLimit removes, lowers, raises and brings back the queue of a job whose tasks fail.
func TestRandomCatalogsNeverLetATaskStartBeyondItsLimit(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 1))
		m := newTestMachine(t)
		limit, failures, run := 2, 0, 0
		for version := int64(2); version < 12; version++ {
			if r.IntN(2) == 0 {
				limit = 1 + r.IntN(4)
				apply(t, m, Command{Catalog: catalogWithLimit(version, limit)})
			} else {
				apply(t, m, Command{Catalog: catalogWithoutQueue(version)})
			}
			run++
			if failRun(t, m, run) {
				if failures >= limit {
					t.Errorf("seed %d: started after %d failures at a limit of %d", seed, failures, limit)
				}
				failures++
			}
			if wanted := failures >= limit; wanted && outcome(m) != Failed {
				t.Errorf("seed %d: outcome %d after %d failures at a limit of %d", seed, outcome(m), failures, limit)
			}
			if outcome(m) == Failed {
				break
			}
		}
		if t.Failed() {
			return
		}
	}
}

// TestLongRunningTaskHasNoLimitOfAttempts guards against a long-running job that ends by failures after its queue is removed.
func TestLongRunningTaskHasNoLimitOfAttempts(t *testing.T) {
	m := newTestMachine(t)
	step := workload.Step{Count: 1, LongRunning: true}
	submitted := Submit{ID: "1111111111111111", Host: "h", Path: "/q/1111111111111111", Spec: workload.Spec{Steps: []workload.Step{step}}}
	apply(t, m, Command{Submit: &submitted})
	apply(t, m, Command{Catalog: catalogWithoutQueue(2)})
	task := workload.TaskID{Job: submitted.ID}
	for run := range 3 * unknownMaxAttempts {
		if !start(t, m, task, run+1, "w0") {
			t.Fatal(fmt.Sprint("run ", run+1, " was refused"))
		}
		end(t, m, task, run+1, EndFailed)
	}
}
