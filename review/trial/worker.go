package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// longestLease is hold_max_ms of the settings.
const longestLease = 10 * time.Second

// stopTime is how long a run takes to end after a stop order, within
// stop_timeout_ms.
const stopTime = 20 * time.Millisecond

// workerSettings is what a worker process is told by the trial.
type workerSettings struct {
	ID, Machine, Address, Service, Zone string
	Labels                              []string
	Controls                            []string
	HeartbeatMS                         int
	// TravelUS is how long an answer is on its way, in microseconds.
	TravelUS int
	// HoldFirst is set if the first start order gets no answer and is not carried out.
	HoldFirst bool
}

// run is a task that executes on a worker.
type run struct {
	task    string
	number  int
	spec    string
	started time.Time
	percent int
	stopped bool
}

// taskWorker is a worker as PROTOCOL.md describes it: it is told by /run-start,
// /run-stop, /hold and /pace, and enforces its capacity by a number of tasks.
type taskWorker struct {
	settings workerSettings
	born     int64
	begun    time.Time

	mu       sync.Mutex
	fence    uint64
	leaseMS  int64
	running  map[string]*run
	highest  map[string]int
	ended    [][]any
	lastEnd  int64
	lastSeen int64
	// listed is the number of the newest end that an answer has listed.
	listed  int64
	changed chan struct{}
}

// maxTasks is the number of tasks that a worker has room for.
const maxTasks = 64

// runWorker is the main function of a worker process. It prints one line for
// each order and each end, which the trial reads.
func runWorker(text string) error {
	w := &taskWorker{born: time.Now().UnixMilli(), begun: time.Now(), running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	if err := json.Unmarshal([]byte(text), &w.settings); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.start))
	mux.HandleFunc("POST /run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /pace", w.handle(w.pace))
	mux.HandleFunc("POST /hold", w.handle(w.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	listener, err := net.Listen("tcp", w.settings.Address)
	if err != nil {
		return err
	}
	go w.sendHeartbeats()
	go w.advance()
	return http.Serve(listener, mux)
}

// say prints a line for the trial.
func say(format string, values ...any) { fmt.Fprintf(os.Stdout, format+"\n", values...) }

// order is the body of every order.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	Fence      uint64 `json:"fencing_token"`
	Percent    int    `json:"percent"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int    `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
}

// handle checks what all orders have in common. serve is called with w.mu held.
func (w *taskWorker) handle(serve func(context.Context, *order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.settings.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.URL.Path == "/run-start" && w.holdsBack(&o) {
			<-r.Context().Done()
			return
		}
		w.mu.Lock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Fence >= w.fence {
			w.fence = o.Fence
			status, body = serve(r.Context(), &o)
		}
		body["clock_ms"] = w.clockMS()
		encoded, err := json.Marshal(body)
		w.mu.Unlock()
		if err != nil {
			rw.WriteHeader(http.StatusInternalServerError)
			return
		}
		// An answer that is on its way when the machine ends is lost.
		time.Sleep(time.Duration(w.settings.TravelUS) * time.Microsecond)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_, _ = rw.Write(encoded)
	}
}

// holdsBack reports whether a start order is held back, and prints it if it is.
func (w *taskWorker) holdsBack(o *order) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.settings.HoldFirst {
		return false
	}
	w.settings.HoldFirst = false
	text, err := json.Marshal(o)
	if err != nil {
		return false
	}
	say("late %s", text)
	return true
}

func (w *taskWorker) clockMS() int64 { return time.Since(w.begun).Milliseconds() }

// extendLease takes over the end of a lease, shortened to the longest one.
func (w *taskWorker) extendLease(untilMS int64) {
	w.leaseMS = max(w.leaseMS, min(untilMS, w.clockMS()+longestLease.Milliseconds()))
}

func (w *taskWorker) start(_ context.Context, o *order) (int, map[string]any) {
	known := w.running[o.Task]
	if known != nil && known.number == o.Run {
		w.extendLease(o.UntilMS)
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= w.highest[o.Task] {
		w.extendLease(o.UntilMS)
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if o.UntilMS <= w.clockMS() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.extendLease(o.UntilMS)
	if len(w.running) >= maxTasks || known != nil {
		return http.StatusConflict, map[string]any{"reason": "room"}
	}
	w.highest[o.Task] = o.Run
	w.running[o.Task] = &run{task: o.Task, number: o.Run, spec: o.Spec, started: time.Now()}
	say("start %s %d %s", o.Task, o.Run, strconv.Quote(o.Spec))
	return http.StatusOK, map[string]any{}
}

func (w *taskWorker) stop(_ context.Context, o *order) (int, map[string]any) {
	r := w.running[o.Task]
	if r == nil || r.number != o.Run {
		// A run that is not there yet is rejected from now on.
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		return http.StatusOK, map[string]any{}
	}
	say("stop %s %d", o.Task, o.Run)
	r.stopped = true
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[o.Task] == r {
			w.end(r, "stopped")
		}
	})
	return http.StatusOK, map[string]any{}
}

func (w *taskWorker) pace(_ context.Context, _ *order) (int, map[string]any) {
	return http.StatusOK, map[string]any{}
}

// hold extends the lease and lists what runs and what has ended. It waits for an
// end for as long as the caller asks.
func (w *taskWorker) hold(ctx context.Context, o *order) (int, map[string]any) {
	if o.UntilMS > 0 {
		w.extendLease(o.UntilMS)
	}
	if o.LastSeen > w.lastSeen {
		w.lastSeen = o.LastSeen
		for len(w.ended) > 0 && w.ended[0][0].(int64) <= w.lastSeen {
			say("seen %s %d %s", w.ended[0][1], w.ended[0][2], w.ended[0][3])
			w.ended = w.ended[1:]
		}
	}
	deadline := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		w.mu.Lock()
	}
	rows := [][]any{}
	for _, r := range w.running {
		rows = append(rows, []any{r.task, r.number, "", r.percent, 1000})
	}
	for _, row := range w.ended {
		if number := row[0].(int64); number > w.listed {
			w.listed = number
			say("listed %s %d %s", row[1], row[2], row[3])
		}
	}
	return http.StatusOK, map[string]any{"born": w.born, "running": rows, "ended": append([][]any{}, w.ended[:min(len(w.ended), 500)]...)}
}

// end records the end of a run. The caller holds w.mu.
func (w *taskWorker) end(r *run, how string) {
	delete(w.running, r.task)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.number, how, ""})
	say("end %s %d %s", r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// advance ends the runs whose time has come, and all runs when the lease ends. A
// spec is "MS done", "MS failed" or "lasts".
func (w *taskWorker) advance() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		for _, r := range w.running {
			took := time.Since(r.started)
			how, duration := behaviour(r.spec)
			switch {
			case w.clockMS() > w.leaseMS:
				w.end(r, "lapsed")
			case r.stopped:
			case how == "":
				r.percent = 0
				if took > 100*time.Millisecond {
					r.percent = 100
				}
			case took >= duration:
				w.end(r, how)
			default:
				r.percent = int(100 * took / duration)
			}
		}
		w.mu.Unlock()
	}
}

// behaviour returns how a task ends and after what time; "" if it lasts.
func behaviour(spec string) (how string, after time.Duration) {
	fields := strings.Fields(spec)
	if len(fields) != 2 {
		return "", 0
	}
	ms, err := strconv.Atoi(fields[0])
	if err != nil {
		return "", 0
	}
	return fields[1], time.Duration(ms) * time.Millisecond
}

// sendHeartbeats reports to control as the page on discovery says.
func (w *taskWorker) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	next := ""
	at := int(w.born) % len(w.settings.Controls)
	for seq := 1; ; seq++ {
		w.mu.Lock()
		body, err := json.Marshal(map[string]any{
			"service": w.settings.Service, "address": w.settings.Address, "zone": w.settings.Zone, "version": "v1", "slots": 8,
			"state": "ready", "cold_remaining_ms": 0, "machine": w.settings.Machine, "born": w.born,
			"capacity": map[string]int{"cpu": 64000, "mem_mb": 262144, "gpu": 0}, "labels": w.settings.Labels,
			"clock_ms": w.clockMS(), "seq": seq,
		})
		w.mu.Unlock()
		if err != nil {
			return
		}
		for range 2 * len(w.settings.Controls) {
			address := next
			if address == "" {
				address = w.settings.Controls[at%len(w.settings.Controls)]
				at++
			}
			acked := false
			if acked, next = w.heartbeat(client, address, body); acked {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Duration(w.settings.HeartbeatMS) * time.Millisecond)
	}
}

func (w *taskWorker) heartbeat(client *http.Client, address string, body []byte) (acked bool, next string) {
	response, err := client.Post("http://"+address+"/instances/"+w.settings.ID+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false, ""
	}
	defer response.Body.Close()
	var answer struct {
		Next string `json:"heartbeat_addr"`
	}
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode/100 == 2, answer.Next
}
