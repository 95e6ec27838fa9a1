package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// deadlyLongRunning plays a long-running task that crashes its workers, and calls
// disturb every interval until the task's job has ended.
func deadlyLongRunning(t *testing.T, interval time.Duration, disturb func(f *crashFixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, time.Hour, 4)
		deadly := f.makeDeadly(jobA)
		f.lead()
		defer func() { f.finish() }()
		time.Sleep(time.Second)
		disturb(f)
		f.submit(jobA, workload.Step{Count: 2, LongRunning: true, DisruptionBudget: -1, Need: workload.Resources{MilliCPU: 1000}})
		for end := time.Now().Add(time.Minute); time.Now().Before(end) && f.outcome(jobA) == workstate.Open; {
			time.Sleep(interval)
			disturb(f)
		}
		f.checkDeadlyStarts(deadly)
	})
}

// TestDeadlyLongRunningTaskIsGivenUpWithoutAnswers guards against one that is started on and on because its workers crash before they answer.
func TestDeadlyLongRunningTaskIsGivenUpWithoutAnswers(t *testing.T) {
	deadlyLongRunning(t, 500*time.Millisecond, func(f *crashFixture) {
		for _, w := range f.aliveWorkers() {
			f.workers.mu.Lock()
			w.loseStarts = 1
			f.workers.mu.Unlock()
		}
	})
}

// TestDeadlyLongRunningTaskIsGivenUpByNewLeaders guards against one that is started on and on because none of its leaders has ordered the run that it sees crash.
func TestDeadlyLongRunningTaskIsGivenUpByNewLeaders(t *testing.T) {
	deadlyLongRunning(t, 3*time.Second, func(f *crashFixture) {
		f.depose()
		f.lead()
	})
}
