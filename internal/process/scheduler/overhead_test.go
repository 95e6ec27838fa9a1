package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestOverheadOfStepsIsLearnedByQueue guards against a leader that takes late jobs for timely ones, since it counts the work of their steps only.
func TestOverheadOfStepsIsLearnedByQueue(t *testing.T) {
	overheads := stepOverheads{}
	for range 400 {
		overheads.add("busy", 300*time.Millisecond)
		overheads.add("overestimated", -time.Second)
	}
	overheads.add("busy", time.Hour)
	if got := overheads.of("busy"); got < 290*time.Millisecond || got > 350*time.Millisecond {
		t.Errorf("%s learned from runs that took 300 ms more than their work, and from one that hung", got)
	}
	if got := overheads.of("overestimated"); got != 0 {
		t.Errorf("%s learned from runs that took less than their estimate", got)
	}
	if got := overheads.of("new"); got != 0 {
		t.Errorf("%s for a queue without runs", got)
	}
}

// TestLeaderLearnsWhatAStepTakesBesideItsWork guards against bursts in which each job is started too late to be in time.
func TestLeaderLearnsWhatAStepTakesBesideItsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const estimate, overhead = 400 * time.Millisecond, 300 * time.Millisecond
		f := newFixture(t, estimate+overhead)
		f.addWorker("w1", 400000)
		f.leadWithJob(workload.Step{Count: 300, Need: workload.Resources{MilliCPU: 1000}, Estimate: estimate})
		defer f.depose()
		time.Sleep(2 * time.Second)
		learned := make(chan time.Duration, 1)
		f.loop.post(func(l *loop) {
			l.Machine.Read(func(v *workstate.View) { learned <- l.demand.overheads.of(v.Job(jobA).Queue) })
		})
		if got := <-learned; got < overhead || got > overhead+150*time.Millisecond {
			t.Errorf("%s learned of runs that take %s more than estimated", got, overhead)
		}
	})
}
