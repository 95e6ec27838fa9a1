package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestLateStartOnAnUnregisteredIncarnationHoldsBackTheNextRun guards against a second run while a lower incarnation executes a start that reached it seconds after its first answer, under the longest lease.
func TestLateStartOnAnUnregisteredIncarnationHoldsBackTheNextRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Minute)
		f.addWorker("w1", 1000)
		calls := &cutStart{lateStart{fakeWorkers: f.workers, delay: 4 * time.Second}}
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = calls })
		time.Sleep(time.Minute)
		f.submit(jobA, step(1))
		time.Sleep(100 * time.Millisecond)
		f.workers.mu.Lock()
		w := f.workers.add("w1", 1000)
		w.incarnation -= time.Hour.Milliseconds()
		f.workers.mu.Unlock()
		f.addWorker("w2", 1000)
		for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(heartbeatInterval) {
			f.register(w, "vm-w1", "svc")
		}
		if !f.workers.workers["w2"].executes(f.workers, workload.TaskID{Job: jobA}) {
			t.Error("the task was not started on w2")
		}
	})
}
