package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/version/workload"
)

func TestBestEffortTasksAreThrottledToMeetTailLatencyTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Hour)
		w := f.addWorker("w1", 8000)
		w.tailPerPercent = 0.5
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		serving := workload.Step{Count: 1, Need: workload.Resources{MilliCPU: 4000}, LongRunning: true, TailLatencyTarget: 40 * time.Millisecond, DisruptionBudget: -1}
		bestEffort := workload.Step{Count: 2, Need: workload.Resources{MilliCPU: 6000}, BestEffort: true, DisruptionBudget: -1}
		f.submit(jobA, serving)
		f.submit("bbbbbbbbbbbbbbbb", bestEffort)
		time.Sleep(2 * time.Second)
		if len(w.running) != 3 {
			t.Fatalf("%d tasks execute, best-effort tasks need no CPU capacity", len(w.running))
		}
		over := time.Duration(0)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			f.workers.mu.Lock()
			tail := w.usage(workload.TaskID{Job: jobA})
			f.workers.mu.Unlock()
			if tail <= 40 {
				over = 0
				continue
			}
			over += 100 * time.Millisecond
			if over > 3*time.Second {
				t.Fatalf("the tail latency is over its target for %s", over)
			}
		}
	})
}
