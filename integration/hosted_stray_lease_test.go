package integration

import (
	"testing"
	"time"
)

// TestHostedTaskWaitsForALeaseGrantedBeforeTheFirstCall guards against a second run while a restarted worker, cut off 2 s later, executes the first one: a call to its former incarnation had granted it the longest lease.
func TestHostedTaskWaitsForALeaseGrantedBeforeTheFirstCall(t *testing.T) {
	t.Parallel()
	h := newHosted(t, 3, 1)
	h.configure()
	former, r := h.addWorker("w1", 8000)
	h.submit(jobID(1), 2, 50*time.Millisecond)
	h.awaitState(jobID(1), "succeeded", 20*time.Second)
	former.kill()
	w := newHostedWorker(former.heartbeatInterval, h.ledger, former.id, former.service, former.address, former.advertised, former.capacity)
	w.strayUntilMS = former.leaseMS
	w.start(t, h.controlAddresses())
	time.Sleep(1500 * time.Millisecond)
	h.submit(jobID(2), 1, 9*time.Second)
	eventually(t, 2*time.Second, "the task executes on the restarted worker", func() error { return w.checkRunning(1) })
	w.mu.Lock()
	t.Logf("cut off after %s with %d ms of its lease left", time.Since(w.startedAt), w.leaseMS-w.clock())
	w.mu.Unlock()
	r.setSilent(true)
	h.addWorker("w2", 8000)
	h.awaitState(jobID(2), "succeeded", 60*time.Second)
}
