package integration

import (
	"errors"
	"net/http"
	"testing"
	"time"
)

// TestHostedLateHeartbeatDoesNotBringBackADeregisteredWorker guards against starts on a worker that has announced its end.
func TestHostedLateHeartbeatDoesNotBringBackADeregisteredWorker(t *testing.T) {
	t.Parallel()
	h := newHosted(t, 3, 1)
	h.configure()
	leaving, _ := h.addWorker("w1", 8000)
	h.submit(jobID(1), 2, 50*time.Millisecond)
	h.awaitState(jobID(1), "succeeded", 20*time.Second)
	h.addWorker("w2", 1000)
	late := leaving.heartbeat(1)
	leaving.mu.Lock()
	leaving.deregistered = true
	leaving.mu.Unlock()
	time.Sleep(leaving.heartbeatInterval)
	client := &http.Client{Timeout: time.Second}
	eventually(t, 10*time.Second, "the worker is deregistered", func() error {
		if !leaving.deregister(client, h.controlAddresses()[0]) {
			return errors.New("no acknowledgement")
		}
		return nil
	})
	leaving.sendHeartbeat(client, h.controlAddresses()[0], late)
	h.submit(jobID(2), 6, 500*time.Millisecond)
	for range 40 {
		must(t, leaving.checkRunning(0))
		time.Sleep(50 * time.Millisecond)
	}
}
