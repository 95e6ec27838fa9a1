package integration

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// An unsteady worker sends one in lateHeartbeats heartbeats late, by up to
// maxHeartbeatDelay, so that later ones overtake it. The delay is longer than the
// grace after a capacity has shrunk.
const (
	lateHeartbeats    = 4
	maxHeartbeatDelay = 6 * time.Second
)

// sendHeartbeats sends heartbeats to the address that the last answer named. If
// there is none, it tries the control processes in turn.
func (w *hostedWorker) sendHeartbeats(control []string) {
	client := &http.Client{Timeout: time.Second}
	address := ""
	for sequence := 1; ; sequence++ {
		if address == "" {
			address = control[sequence%len(control)]
		}
		if body := w.heartbeat(sequence); w.unsteady && sequence%lateHeartbeats == 0 {
			delay, current := time.Duration(sequence)*397*time.Millisecond%maxHeartbeatDelay, address
			time.AfterFunc(delay, func() { w.sendHeartbeat(client, current, body) })
		} else {
			address = w.sendHeartbeat(client, address, body)
		}
		pause := w.heartbeatInterval
		if address == "" {
			pause = 50 * time.Millisecond
		}
		select {
		case <-w.done:
			return
		case <-time.After(pause):
		}
		if w.hasDeregistered() {
			return
		}
	}
}

// heartbeat returns the body of a heartbeat.
func (w *hostedWorker) heartbeat(sequence int) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	fields := map[string]any{
		"service": w.service, "address": w.advertised, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "seq": sequence,
		"capacity": map[string]int64{"cpu": w.capacity, "mem_mb": 1 << 20}, "labels": []string{"a", "r1"}, "clock_ms": w.clock(),
		"born": w.startedAt.UnixMilli(), "machine": w.vm,
	}
	if !w.drainsUntil.IsZero() {
		fields["state"], fields["remaining_ms"] = "draining", max(0, time.Until(w.drainsUntil).Milliseconds())
	}
	body, _ := json.Marshal(fields)
	return body
}

// sendHeartbeat sends one heartbeat and returns the address for the next one, or
// "" after a failure.
func (w *hostedWorker) sendHeartbeat(client *http.Client, address string, body []byte) string {
	response, err := client.Post("http://"+address+"/instances/"+w.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var answer struct {
		HeartbeatAddr string `json:"heartbeat_addr"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return ""
	}
	return strings.TrimSpace(answer.HeartbeatAddr)
}
