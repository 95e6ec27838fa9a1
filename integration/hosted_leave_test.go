package integration

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

// leave drains the worker, deregisters it and ends it. If the answers are lost,
// the worker continues to work for some time after it has deregistered.
func (w *hostedWorker) leave(control []string, drain, workOn time.Duration, answersLost bool) {
	w.mu.Lock()
	w.drainsUntil = time.Now().Add(drain)
	w.mu.Unlock()
	if !w.pause(drain) {
		return
	}
	w.mu.Lock()
	w.deregistered = true
	w.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	for end, i := time.Now().Add(workOn), 0; time.Now().Before(end); i++ {
		acknowledged := w.deregister(client, control[i%len(control)])
		if (acknowledged && !answersLost) || !w.pause(w.heartbeatInterval) {
			break
		}
	}
	w.kill()
}

// pause waits and reports whether the worker is still up.
func (w *hostedWorker) pause(length time.Duration) bool {
	select {
	case <-w.done:
		return false
	case <-time.After(length):
		return true
	}
}

// isLeaving reports whether the worker drains or has deregistered.
func (w *hostedWorker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.drainsUntil.IsZero()
}

func (w *hostedWorker) hasDeregistered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.deregistered
}

// deregister sends the deregistration and reports whether it was acknowledged.
func (w *hostedWorker) deregister(client *http.Client, address string) bool {
	body := fmt.Sprintf(`{"born":%d}`, w.startedAt.UnixMilli())
	response, err := client.Post("http://"+address+"/instances/"+w.id+"/deregister", "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	w.ledger.trace.Printf("%s sent its deregistration to %s: %s", w.id, address, response.Status)
	return response.StatusCode == http.StatusOK
}
