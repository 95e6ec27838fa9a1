package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
)

// TestClockThatJumpsDoesNotPurgeAJobThatHasJustEnded guards against a job that runs again: its submission arrives again after the leader's wall clock has jumped ahead.
func TestClockThatJumpsDoesNotPurgeAJobThatHasJustEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 100*time.Millisecond)
		first := f.addWorker("w1", 1000)
		f.lead()
		defer f.depose()
		time.Sleep(f.limits.Retention)
		f.submit(jobA, step(1))
		f.await(jobA, workstate.Succeeded, time.Second)
		time.Sleep(time.Second)
		jump := 3 * f.limits.Retention
		f.loop.post(func(l *loop) { l.Now = func() time.Time { return time.Now().Add(jump) } })
		time.Sleep(f.limits.Retention / 2)
		f.addWorker("w2", 1000)
		f.announceDrain(first, "vm-w1")
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		time.Sleep(time.Second)
		if f.workers.starts != 1 {
			t.Errorf("%d starts of a task that was done", f.workers.starts)
		}
	})
}
