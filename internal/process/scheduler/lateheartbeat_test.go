package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
)

// TestTaskRunsOnceAfterALateHeartbeatOfTheFormerWorkerOnItsVM guards against a second run of a task whose worker is taken for ended: the VM's clock was set back, so that the former, lost worker counts as the later one.
func TestTaskRunsOnceAfterALateHeartbeatOfTheFormerWorkerOnItsVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3*time.Second)
		former := f.addWorker("w1", 8000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		late := f.heartbeat(former, "vm-w1", "svc")
		f.workers.mu.Lock()
		f.workers.crash(former)
		former.unreachable = true
		f.workers.mu.Unlock()
		time.Sleep(lostAfter + 2*time.Second)
		f.workers.mu.Lock()
		successor := f.workers.add("w2", 8000)
		successor.incarnation = former.incarnation - time.Hour.Milliseconds()
		f.workers.mu.Unlock()
		f.register(successor, "vm-w1", "svc")
		time.Sleep(500 * time.Millisecond)
		f.submit(jobA, step(2))
		time.Sleep(500 * time.Millisecond)
		f.addWorker("w3", 8000)
		f.commit(&workstate.Command{Register: late})
		f.await(jobA, workstate.Succeeded, 10*time.Second)
	})
}
