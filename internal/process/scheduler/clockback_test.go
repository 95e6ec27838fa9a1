package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
)

// TestWorkerRestartedWithAnEarlierClockIsNotTakenForItsFormerIncarnation guards against a start after a run has ended done: the end was acknowledged by the numbers of the former incarnation.
func TestWorkerRestartedWithAnEarlierClockIsNotTakenForItsFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		f.addWorker("w1", 1000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		f.await(jobA, workstate.Succeeded, time.Second)
		time.Sleep(time.Second)
		f.workers.mu.Lock()
		w := f.workers.add("w1", 1000)
		w.incarnation -= time.Hour.Milliseconds()
		f.workers.mu.Unlock()
		time.Sleep(2 * time.Second)
		f.submit("bbbbbbbbbbbbbbbb", step(1))
		f.await("bbbbbbbbbbbbbbbb", workstate.Succeeded, 5*time.Second)
	})
}
