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

// hostedLedger is what all stand-in workers of a deployment see together:
// it finds a task that executes twice or again after its end was noted.
type hostedLedger struct {
	t  *testing.T
	mu sync.Mutex
	// executing holds the worker of each task; noted the tasks whose good
	// end was forgotten on the scheduler's word.
	executing map[string]*hostedWorker
	noted     map[string]bool
	starts    int
}

func newHostedLedger(t *testing.T) *hostedLedger {
	return &hostedLedger{t: t, executing: map[string]*hostedWorker{}, noted: map[string]bool{}}
}

// begin notes a start.
func (l *hostedLedger) begin(w *hostedWorker, task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	if other := l.executing[task]; other != nil {
		l.t.Errorf("task %s run %d starts on %s while it executes on %s", task, run, w.id, other.id)
	}
	if l.noted[task] {
		l.t.Errorf("task %s run %d starts on %s after its good end was noted", task, run, w.id)
	}
	l.executing[task] = w
}

func (l *hostedLedger) end(w *hostedWorker, task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.executing[task] == w {
		delete(l.executing, task)
	}
}

func (l *hostedLedger) note(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noted[task] = true
}

// hostedEnd is one entry of a worker's list of ends.
type hostedEnd struct {
	number   int64
	task     string
	run      int
	how      string
	listedAt time.Time
}

// hostedWorker is one life of a worker of the platform. A task runs as long
// as its payload says in milliseconds.
type hostedWorker struct {
	id, service, vm string
	// address is where the worker listens, advertised where the scheduler
	// is told to call: a relay, in tests of the network.
	address, advertised string
	capacity            int64
	born                time.Time
	ledger              *hostedLedger
	listener            net.Listener
	server              *http.Server
	done                chan struct{}

	mu      sync.Mutex
	fence   uint64
	leaseMS int64
	running map[string]*hostedRun
	highest map[string]int
	ended   []hostedEnd
	number  int64
	dead    bool
}

// startHostedWorker starts a worker that reports to the control addresses.
func startHostedWorker(t *testing.T, ledger *hostedLedger, id, service, address, advertised string, capacity int64, control []string) *hostedWorker {
	t.Helper()
	if advertised == "" {
		advertised = address
	}
	w := &hostedWorker{
		id: id, service: service, vm: "vm-" + id, address: address, advertised: advertised, capacity: capacity, born: time.Now(), ledger: ledger,
		done: make(chan struct{}), running: map[string]*hostedRun{}, highest: map[string]int{},
	}
	w.listener = listenSoon(t, address)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.serveHold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(w.listener) }()
	go w.report(control)
	go w.tick()
	t.Cleanup(w.kill)
	return w
}

// kill ends the worker with all that runs on it, like a crash.
func (w *hostedWorker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.dead = true
	close(w.done)
	// A server that has just begun does not know its listener yet.
	_ = w.listener.Close()
	_ = w.server.Close()
	for task := range w.running {
		w.ledger.end(w, task)
	}
	w.running = map[string]*hostedRun{}
}

func (w *hostedWorker) clock() int64 { return time.Since(w.born).Milliseconds() }

// tick ends runs that are due.
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

func (w *hostedWorker) advance() {
	for _, r := range w.running {
		switch {
		case w.clock() > w.leaseMS:
			w.end(r, "lapsed")
		case time.Now().After(r.endsAt):
			w.end(r, "done")
		}
	}
}

func (w *hostedWorker) end(r *hostedRun, how string) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.number++
	w.ended = append(w.ended, hostedEnd{number: w.number, task: r.task, run: r.run, how: how, listedAt: time.Now()})
	w.ledger.end(w, r.task)
}

// hostedOrder holds the fields of all orders.
type hostedOrder struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"until_ms"`
	FencingToken uint64 `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int    `json:"wait_ms"`
}

// take decodes an order and checks its fence, with the lock held after it.
func (w *hostedWorker) take(rw http.ResponseWriter, r *http.Request) (hostedOrder, bool) {
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
	if w.dead || o.FencingToken < w.fence {
		w.refuse(rw, "fence")
		w.mu.Unlock()
		return o, false
	}
	w.fence = o.FencingToken
	return o, true
}

func (w *hostedWorker) refuse(rw http.ResponseWriter, reason string) {
	rw.WriteHeader(http.StatusConflict)
	_, _ = fmt.Fprintf(rw, `{"clock_ms":%d,"reason":%q}`, w.clock(), reason)
}

func (w *hostedWorker) accept(rw http.ResponseWriter) {
	_, _ = fmt.Fprintf(rw, `{"clock_ms":%d,"born":%d}`, w.clock(), w.born.UnixMilli())
}

func (w *hostedWorker) serveStart(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
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
	case o.Run <= w.highest[o.Task] || w.running[o.Task] != nil:
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
	w.ledger.begin(w, o.Task, o.Run)
	w.accept(rw)
}

func (w *hostedWorker) serveStop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if running := w.running[o.Task]; running != nil && running.run == o.Run {
		w.end(running, "stopped")
	}
	w.accept(rw)
}

func (w *hostedWorker) serveHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	w.leaseMS = max(w.leaseMS, o.UntilMS)
	w.forget(o.LastSeen)
	deadline := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(deadline) && !w.dead {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	answer := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.running {
		running = append(running, []any{run.task, run.run, "", 100, 0})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer["running"], answer["ended"] = running, ended
	_ = json.NewEncoder(rw).Encode(answer)
}

func (w *hostedWorker) forget(upTo int64) {
	for len(w.ended) > 0 && w.ended[0].number <= upTo {
		if w.ended[0].how == "done" {
			w.ledger.note(w.ended[0].task)
		}
		w.ended = w.ended[1:]
	}
}

// report sends heartbeats, to the address that the last answer named or to
// the next control process.
func (w *hostedWorker) report(control []string) {
	client := &http.Client{Timeout: time.Second}
	address := ""
	for sequence := 1; ; sequence++ {
		if address == "" {
			address = control[sequence%len(control)]
		}
		address = w.beat(client, address, sequence)
		pause := 500 * time.Millisecond
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

// beat sends one heartbeat and returns where the next one goes, "" after a
// failure.
func (w *hostedWorker) beat(client *http.Client, address string, sequence int) string {
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.advertised, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "seq": sequence,
		"capacity": map[string]int64{"cpu": w.capacity, "mem_mb": 1 << 20}, "labels": []string{"a", "r1"}, "clock_ms": w.clock(),
		"born": w.born.UnixMilli(), "machine": w.vm,
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
