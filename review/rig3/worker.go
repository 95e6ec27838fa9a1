package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for one life of a worker. A task works for the time that its
// payload gives.
type worker struct {
	d                                *deployment
	id, machine, service, zone, rack string
	address                          string
	born                             int64
	start                            time.Time
	server                           *http.Server
	dead                             chan struct{}

	mu          sync.Mutex
	cpu, memory int64
	fencing     uint64
	leaseMS     int64
	running     map[string]*taskRun
	highest     map[string]int
	ended       []endedRun
	lastEnd     int64
	seq         int64
	changed     chan struct{}
	isDead      bool
	nextBeatAt  string
	usedCPU     int64
	usedMemory  int64
}

// taskRun is a run on a worker.
type taskRun struct {
	task     string
	number   int
	until    time.Time
	began    time.Time
	stopAt   time.Time
	stopping bool
	cpu, mem int64
	// gang is the run of the gang of which this is a member, or nil. It works for a time
	// from when all members are present.
	gang  *gang
	works time.Duration
}

// endedRun is a run that has ended.
type endedRun struct {
	number int64
	task   string
	run    int
	how    string
	at     time.Time
}

// holdMaxMS is the longest lease.
const holdMaxMS = 10_000

// startWorker starts a worker on a machine.
func (d *deployment) startWorker(service, machine string, number int, cpu, memory int64) (*worker, error) {
	return d.startWorkerAt(fmt.Sprintf("%s%d:%d", d.subnet, 150+number, workerPort), service, machine, number, cpu, memory, true)
}

// startWorkerAt starts a worker at an address. Without beats it sends no status reports.
func (d *deployment) startWorkerAt(address, service, machine string, number int, cpu, memory int64, beats bool) (*worker, error) {
	zone := zones[number%len(zones)]
	w := &worker{
		d: d, machine: machine, service: service, zone: zone, rack: "r" + strconv.Itoa(number%len(zones)) + "-" + strconv.Itoa(number/12),
		id: fmt.Sprintf("i-%s-%d", machine, time.Now().UnixNano()%1_000_000), born: time.Now().UnixMilli(), start: time.Now(),
		cpu: cpu, memory: memory, running: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{}), dead: make(chan struct{}),
	}
	w.address = address
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.serveHold)
	mux.HandleFunc("POST /pace", w.servePace)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = w.server.Serve(listener) }()
	go w.tick()
	if beats {
		go w.beat()
	}
	d.workersMu.Lock()
	d.workers = append(d.workers, w)
	d.workersMu.Unlock()
	return w, nil
}

// clock returns the steady clock of the worker.
func (w *worker) clock() int64 { return 1000 + time.Since(w.start).Milliseconds() }

// kill ends the worker with all that runs on it.
func (w *worker) kill() {
	w.mu.Lock()
	if w.isDead {
		w.mu.Unlock()
		return
	}
	w.isDead = true
	close(w.dead)
	w.running = map[string]*taskRun{}
	w.mu.Unlock()
	_ = w.server.Close()
}

// tick ends the runs that are due.
func (w *worker) tick() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.dead:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

func (w *worker) advance() {
	now := time.Now()
	lapsed := w.clock() > w.leaseMS
	for _, r := range w.running {
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case r.stopping && !now.Before(r.stopAt):
			w.end(r, "stopped")
		case r.gang != nil:
			if how := w.d.gangs.dueEnd(r.gang, r.began, r.works); how != "" {
				w.end(r, how)
			}
		case !now.Before(r.until):
			w.end(r, "done")
		}
	}
}

// end ends a run. The caller holds w.mu.
func (w *worker) end(r *taskRun, how string) {
	delete(w.running, r.task)
	if r.gang != nil {
		w.d.gangs.leave(r.gang, how)
	}
	w.usedCPU -= r.cpu
	w.usedMemory -= r.mem
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, r.task, r.number, how, time.Now()})
	if w.d.isRecorded(r.task) {
		w.d.record.note("worker %s: %s run %d ended %s", w.id, r.task, r.number, how)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// runs reports whether a task of a job runs here.
func (w *worker) runs(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.running {
		if strings.HasPrefix(task, job) {
			return true
		}
	}
	return false
}

// order is the body of all calls to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	Fencing    uint64 `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int    `json:"wait_ms"`
	Percent    int    `json:"percent"`
	Checkpoint string `json:"checkpoint"`
}

// accept decodes a call and checks the incarnation and the fencing token. It returns
// false if it has answered.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request, o *order) bool {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if json.NewDecoder(r.Body).Decode(o) != nil {
		w.reply(rw, http.StatusBadRequest, "")
		return false
	}
	if o.Fencing < w.fencing {
		w.reply(rw, http.StatusConflict, "fence")
		return false
	}
	w.fencing = o.Fencing
	return true
}

func (w *worker) reply(rw http.ResponseWriter, status int, reason string) {
	answer := map[string]any{"clock_ms": w.clock(), "born": w.born}
	if reason != "" {
		answer["reason"] = reason
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(answer)
}

func (w *worker) extend(untilMS int64) {
	w.leaseMS = max(w.leaseMS, min(untilMS, w.clock()+holdMaxMS))
}

// payload is the spec of the jobs of a case: the time that a task works, and what it
// needs.
type payload struct {
	MS  int64 `json:"ms"`
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem"`
	// Gang is the size of the gang, or 0.
	Gang int `json:"gang"`
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var o order
	if !w.accept(rw, r, &o) {
		return
	}
	var p payload
	_ = json.Unmarshal([]byte(o.Spec), &p)
	known := w.running[o.Task]
	switch {
	case known != nil && known.number == o.Run:
		w.extend(o.UntilMS)
		w.reply(rw, http.StatusOK, "")
		return
	case o.Run <= w.highest[o.Task] || known != nil:
		w.extend(o.UntilMS)
		w.reply(rw, http.StatusConflict, "old")
		return
	case o.UntilMS <= w.clock():
		w.reply(rw, http.StatusConflict, "late")
		return
	case w.usedCPU+p.CPU > w.cpu || w.usedMemory+p.Mem > w.memory:
		w.extend(o.UntilMS)
		w.reply(rw, http.StatusConflict, "room")
		return
	}
	w.extend(o.UntilMS)
	now := time.Now()
	w.running[o.Task] = &taskRun{task: o.Task, number: o.Run, began: now, until: now.Add(time.Duration(p.MS) * time.Millisecond), cpu: p.CPU, mem: p.Mem}
	if p.Gang > 0 {
		w.running[o.Task].gang, w.running[o.Task].works = w.d.gangs.join(o.Task, o.Run, p.Gang), time.Duration(p.MS)*time.Millisecond
	}
	w.usedCPU += p.CPU
	w.usedMemory += p.Mem
	w.d.noteStart(o.Task, now)
	if w.d.isRecorded(o.Task) {
		w.d.record.note("worker %s: %s run %d started", w.id, o.Task, o.Run)
	}
	w.reply(rw, http.StatusOK, "")
}

// stopTime is how long a stop takes.
const stopTime = 50 * time.Millisecond

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var o order
	if !w.accept(rw, r, &o) {
		return
	}
	if known := w.running[o.Task]; known != nil && known.number <= o.Run && !known.stopping {
		known.stopping, known.stopAt = true, time.Now().Add(stopTime)
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	w.reply(rw, http.StatusOK, "")
}

func (w *worker) servePace(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var o order
	if w.accept(rw, r, &o) {
		w.reply(rw, http.StatusOK, "")
	}
}

// endsPerAnswer is how many ends an answer lists.
const endsPerAnswer = 500

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var o order
	if !w.accept(rw, r, &o) {
		return
	}
	w.extend(o.UntilMS)
	for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
		w.d.noteDone(&w.ended[0])
		w.ended = w.ended[1:]
	}
	deadline := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waited := o.WaitMS <= 0; !waited && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waited = true
		case <-w.dead:
			waited = true
		case <-r.Context().Done():
			waited = true
		}
		w.mu.Lock()
	}
	rows := make([][]any, 0, len(w.running))
	for _, r := range w.running {
		percent := 0
		if whole := r.until.Sub(r.began); whole > 0 {
			percent = int(min(100*time.Since(r.began)/whole, 100))
		}
		rows = append(rows, []any{r.task, r.number, "", percent, r.cpu})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0].(string) < rows[j][0].(string) })
	ends := make([][]any, 0, min(len(w.ended), endsPerAnswer))
	for _, e := range w.ended[:min(len(w.ended), endsPerAnswer)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"clock_ms": w.clock(), "born": w.born, "running": rows, "ended": ends})
}

// beat sends heartbeats.
func (w *worker) beat() {
	for next := 0; ; {
		body := w.heartbeat()
		w.mu.Lock()
		address := w.nextBeatAt
		w.mu.Unlock()
		if address == "" {
			address = fmt.Sprintf("%s:%d", w.d.controls[next%len(w.d.controls)].ip, controlPort)
			next++
		}
		a := exchange(http.MethodPost, "http://"+address+"/instances/"+w.id+"/heartbeat", "", nil, body, time.Second)
		pause := 1500 * time.Millisecond
		w.mu.Lock()
		w.nextBeatAt = ""
		if a.status/100 == 2 {
			var answer struct {
				Next string `json:"heartbeat_addr"`
			}
			_ = json.Unmarshal(a.body, &answer)
			w.nextBeatAt = answer.Next
			if answer.Next == "" {
				next--
			}
		} else {
			pause = 100 * time.Millisecond
		}
		w.mu.Unlock()
		select {
		case <-w.dead:
			return
		case <-time.After(pause):
		}
	}
}

func (w *worker) heartbeat() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.memory, "gpu": 0}, "labels": []string{"a", w.rack}, "machine": w.machine, "clock_ms": w.clock(), "seq": w.seq, "born": w.born,
	})
	return string(body)
}
