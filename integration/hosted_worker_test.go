package integration

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// hostedWorker is one incarnation of a stand-in for a worker of the platform. A
// task runs for the duration that its spec gives.
type hostedWorker struct {
	id, service, vm string
	// address is where the worker listens. advertised is the address that it
	// reports to the scheduler: that of a relay in tests of the network.
	address, advertised string
	capacity            int64
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval time.Duration
	startedAt         time.Time
	ledger            *hostedLedger
	listener          net.Listener
	server            *http.Server
	done              chan struct{}

	mu           sync.Mutex
	fencingToken uint64
	leaseMS      int64
	running      map[string]*hostedRun
	// highestRun is the highest run of each task that has ended or was stopped.
	highestRun map[string]int
	ended      []hostedEnd
	lastNumber int64
	dead       bool
}

// startHostedWorker starts a worker that sends heartbeats to the control
// addresses.
func startHostedWorker(t *testing.T, ledger *hostedLedger, id, service, address, advertised string, capacity int64, control []string) *hostedWorker {
	t.Helper()
	return startHostedWorkerEvery(t, 500*time.Millisecond, ledger, id, service, address, advertised, capacity, control)
}

// startHostedWorkerEvery starts a worker with the given heartbeat interval.
func startHostedWorkerEvery(t *testing.T, interval time.Duration, ledger *hostedLedger, id, service, address, advertised string, capacity int64, control []string) *hostedWorker {
	t.Helper()
	if advertised == "" {
		advertised = address
	}
	w := &hostedWorker{
		id: id, service: service, vm: "vm-" + id, heartbeatInterval: interval, address: address, advertised: advertised, capacity: capacity, startedAt: time.Now(), ledger: ledger,
		done: make(chan struct{}), running: map[string]*hostedRun{}, highestRun: map[string]int{},
	}
	w.listener = listenWithRetry(t, address)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.serveHold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(w.listener) }()
	go w.sendHeartbeats(control)
	go w.tick()
	t.Cleanup(w.kill)
	return w
}

// kill ends the worker and all its runs at once, like a crash.
func (w *hostedWorker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.dead = true
	close(w.done)
	// Closing the server is not enough: a server that has just started may not
	// have registered its listener yet.
	_ = w.listener.Close()
	_ = w.server.Close()
	for task := range w.running {
		w.ledger.recordEnd(w, task)
	}
	w.running = map[string]*hostedRun{}
}

func (w *hostedWorker) clock() int64 { return time.Since(w.startedAt).Milliseconds() }

// tick ends the runs that are due, every 5 ms until the worker is killed.
func (w *hostedWorker) tick() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

// advance ends the runs whose time is over or whose lease has expired. The caller
// holds w.mu.
func (w *hostedWorker) advance() {
	for _, r := range w.running {
		switch {
		case w.clock() > w.leaseMS:
			w.endRun(r, "lapsed")
		case time.Now().After(r.endsAt):
			w.endRun(r, "done")
		}
	}
}

// endRun moves a run to the list of ended runs. The caller holds w.mu.
func (w *hostedWorker) endRun(r *hostedRun, reason string) {
	delete(w.running, r.task)
	w.highestRun[r.task] = max(w.highestRun[r.task], r.run)
	w.lastNumber++
	w.ended = append(w.ended, hostedEnd{number: w.lastNumber, task: r.task, run: r.run, reason: reason, listedAt: time.Now()})
	w.ledger.recordEnd(w, r.task)
}

// sendHeartbeats sends heartbeats to the address that the last answer named. If
// there is none, it tries the control processes in turn.
func (w *hostedWorker) sendHeartbeats(control []string) {
	client := &http.Client{Timeout: time.Second}
	address := ""
	for sequence := 1; ; sequence++ {
		if address == "" {
			address = control[sequence%len(control)]
		}
		address = w.sendHeartbeat(client, address, sequence)
		pause := w.heartbeatInterval
		if address == "" {
			pause = 50 * time.Millisecond
		}
		select {
		case <-w.done:
			return
		case <-time.After(pause):
		}
	}
}

// sendHeartbeat sends one heartbeat and returns the address for the next one, or
// "" after a failure.
func (w *hostedWorker) sendHeartbeat(client *http.Client, address string, sequence int) string {
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.advertised, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "seq": sequence,
		"capacity": map[string]int64{"cpu": w.capacity, "mem_mb": 1 << 20}, "labels": []string{"a", "r1"}, "clock_ms": w.clock(),
		"born": w.startedAt.UnixMilli(), "machine": w.vm,
	})
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
