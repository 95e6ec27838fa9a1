package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// hostedRun is a run on a stand-in worker.
type hostedRun struct {
	task   string
	run    int
	endsAt time.Time
}

// hostedLedger records the runs on all stand-in workers of a deployment. It fails
// the test if a task executes on two workers at once, or starts again after the
// scheduler has acknowledged its success.
type hostedLedger struct {
	t  *testing.T
	mu sync.Mutex
	// executing holds the worker of each running task. acknowledged holds the
	// tasks whose success the scheduler has acknowledged, so that the worker
	// has deleted it.
	executing    map[string]*hostedWorker
	acknowledged map[string]bool
	starts       int
}

func newHostedLedger(t *testing.T) *hostedLedger {
	return &hostedLedger{t: t, executing: map[string]*hostedWorker{}, acknowledged: map[string]bool{}}
}

// recordStart records the start of a run.
func (l *hostedLedger) recordStart(w *hostedWorker, task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	if other := l.executing[task]; other != nil {
		l.t.Errorf("task %s run %d starts on %s while it executes on %s", task, run, w.id, other.id)
	}
	if l.acknowledged[task] {
		l.t.Errorf("task %s run %d starts on %s after its success was acknowledged", task, run, w.id)
	}
	l.executing[task] = w
}

// recordEnd records the end of a run, for whatever reason.
func (l *hostedLedger) recordEnd(w *hostedWorker, task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.executing[task] == w {
		delete(l.executing, task)
	}
}

// recordAcknowledged records that the scheduler has acknowledged a task's success.
func (l *hostedLedger) recordAcknowledged(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged[task] = true
}

// hostedEnd is an entry in a worker's list of ended runs.
type hostedEnd struct {
	number   int64
	task     string
	run      int
	reason   string
	listedAt time.Time
}

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

// hostedOrder holds the fields of all kinds of orders.
type hostedOrder struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"until_ms"`
	FencingToken uint64 `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int    `json:"wait_ms"`
}

// receiveOrder decodes an order and checks the worker that it is addressed to and
// its fencing token. If it returns true, w.mu is locked and the caller unlocks
// it. Otherwise the refusal has been sent.
func (w *hostedWorker) receiveOrder(rw http.ResponseWriter, r *http.Request) (hostedOrder, bool) {
	var o hostedOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return o, false
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	w.mu.Lock()
	if w.dead || o.FencingToken < w.fencingToken {
		w.refuse(rw, "fence")
		w.mu.Unlock()
		return o, false
	}
	w.fencingToken = o.FencingToken
	return o, true
}

func (w *hostedWorker) refuse(rw http.ResponseWriter, reason string) {
	rw.WriteHeader(http.StatusConflict)
	_, _ = fmt.Fprintf(rw, `{"clock_ms":%d,"reason":%q}`, w.clock(), reason)
}

func (w *hostedWorker) accept(rw http.ResponseWriter) {
	_, _ = fmt.Fprintf(rw, `{"clock_ms":%d,"born":%d}`, w.clock(), w.startedAt.UnixMilli())
}

func (w *hostedWorker) serveStart(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.receiveOrder(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.advance()
	if running := w.running[o.Task]; running != nil && running.run == o.Run {
		w.accept(rw)
		return
	}
	switch {
	case o.Run <= w.highestRun[o.Task] || w.running[o.Task] != nil:
		w.refuse(rw, "old")
		return
	case o.UntilMS < w.clock():
		w.refuse(rw, "late")
		return
	case int64(len(w.running))*1000 >= w.capacity:
		w.refuse(rw, "room")
		return
	}
	length, err := time.ParseDuration(o.Spec)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.leaseMS = max(w.leaseMS, o.UntilMS)
	w.running[o.Task] = &hostedRun{task: o.Task, run: o.Run, endsAt: time.Now().Add(length)}
	w.ledger.recordStart(w, o.Task, o.Run)
	w.accept(rw)
}

func (w *hostedWorker) serveStop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.receiveOrder(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
	if running := w.running[o.Task]; running != nil && running.run == o.Run {
		w.endRun(running, "stopped")
	}
	w.accept(rw)
}

// serveHold extends the lease, deletes the ends that the scheduler has
// acknowledged, and waits for an ended run up to the time given in the order.
func (w *hostedWorker) serveHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.receiveOrder(rw, r)
	if !ok {
		return
	}
	w.leaseMS = max(w.leaseMS, o.UntilMS)
	w.acknowledge(o.LastSeen)
	deadline := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(deadline) && !w.dead {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	answer := map[string]any{"clock_ms": w.clock(), "born": w.startedAt.UnixMilli()}
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.running {
		running = append(running, []any{run.task, run.run, "", 100, 0})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.reason, ""})
	}
	answer["running"], answer["ended"] = running, ended
	_ = json.NewEncoder(rw).Encode(answer)
}

// acknowledge deletes the ends that the scheduler has seen, up to and including
// the given number. The caller holds w.mu.
func (w *hostedWorker) acknowledge(upTo int64) {
	for len(w.ended) > 0 && w.ended[0].number <= upTo {
		if w.ended[0].reason == "done" {
			w.ledger.recordAcknowledged(w.ended[0].task)
		}
		w.ended = w.ended[1:]
	}
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
