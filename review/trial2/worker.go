package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of a worker, from the bounds of the settings.
const (
	holdMaxMS     = 10_000
	stopTakes     = 100 * time.Millisecond
	gangTimeoutMS = 3_000
)

// capacity is what a worker has, and what a task takes of it.
type capacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

// taskInfo is what a worker knows of a task from its spec: how long one run works, how
// that ends, and what it takes.
type taskInfo struct {
	job   *job
	step  *step
	takes capacity
}

// runEnd tells how a run of a task ends by itself and after how much work; 0 work means
// that it lasts.
type runEnd struct {
	work time.Duration
	how  string
}

// world is what all stand-ins share.
type world struct {
	rec      *recorder
	controls []string
	mu       sync.Mutex
	jobs     map[string]*job
	// behave tells how a run ends.
	behave func(name string, run int) runEnd
	// onStart is called, with the lock held, as a worker begins a run.
	onStart func(w *worker, r *taskRun)
	onEnd   func(w *worker, r *taskRun, how string)
	gangs   map[string]*gangRun
	workers []*worker
	// saves holds the work that each checkpoint stands for.
	saves map[string]time.Duration
	// onOrder, if it is set, looks at the order of a start.
	onOrder func(w *worker, r *taskRun, o *order)
	// onNoted is called, with the lock held, as an end is taken note of.
	onNoted func(w *worker, e endRow)
}

// gangRun is one run of a gang.
type gangRun struct {
	members map[string]*taskRun
	since   time.Time
	// complete is when all members were present; zero before.
	complete time.Time
	over     bool
}

func newWorld(rec *recorder, controls []string) *world {
	return &world{rec: rec, controls: controls, jobs: map[string]*job{}, gangs: map[string]*gangRun{}, saves: map[string]time.Duration{}, behave: func(string, int) runEnd { return runEnd{time.Second, "done"} }}
}

func (x *world) checkOrder(w *worker, r *taskRun, o *order) {
	if x.onOrder != nil {
		x.onOrder(w, r, o)
	}
}

func (x *world) addJob(j *job) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.jobs[j.ID] = j
}

// info returns what is known of a task from its name ID.K.STEP.INDEX. The caller holds
// the lock.
func (x *world) info(name string) (taskInfo, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || x.jobs[parts[0]] == nil {
		return taskInfo{}, false
	}
	j := x.jobs[parts[0]]
	var number int
	if _, err := fmt.Sscan(parts[2], &number); err != nil || number >= len(j.Steps) {
		return taskInfo{}, false
	}
	s := &j.Steps[number]
	takes := capacity{s.CPU, s.MemMB, s.GPU}
	if s.Fills {
		takes.CPU = 0
	}
	return taskInfo{j, s, takes}, true
}

// taskRun is a run on a worker.
type taskRun struct {
	task    string
	run     int
	info    taskInfo
	worker  *worker
	started time.Time
	end     runEnd
	// stopAt is when a stop has its effect; zero without one.
	stopAt  time.Time
	percent int
	// saved is the newest checkpoint; done is the work that the run resumed with.
	saved string
	done  time.Duration
}

type endRow struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

// worker is a stand-in for a worker. It may crash and start again under its id.
type worker struct {
	x                          *world
	id, service, machine, zone string
	address                    string
	labels                     []string
	room                       capacity
	enforces, slowClock        bool
	// firstBeat is how long after its start an incarnation sends its first status report;
	// firstControl is the address that it tries first, "" for any.
	firstBeat    time.Duration
	firstControl string

	// The following fields belong to one incarnation; world.mu guards them.
	up       bool
	draining bool
	born     int64
	startAt  time.Time
	fence    uint64
	leaseMS  int64
	running  map[string]*taskRun
	highest  map[string]int
	ended    []endRow
	lastEnd  int64
	seq      int64
	changed  chan struct{}
	life     chan struct{}
	server   *http.Server
	// cut is set while nothing reaches the worker, nor anything from it the system.
	cut bool
	// late, if it is set, decides whether an order gets no answer and is carried out
	// later.
	late func(path string) (time.Duration, bool)
}

func (x *world) newWorker(id, service, ip string, labels []string, room capacity, enforces bool) *worker {
	w := &worker{x: x, id: id, service: service, machine: "m-" + id, zone: "z1", labels: labels, room: room, enforces: enforces}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	w.address = l.Addr().String()
	_ = l.Close()
	x.workers = append(x.workers, w)
	return w
}

// successor returns a worker that is to be the next one on a worker's machine.
func (x *world) successor(w *worker) *worker {
	x.mu.Lock()
	defer x.mu.Unlock()
	next := &worker{
		x: x, id: fmt.Sprintf("%s-next%d", w.id, len(x.workers)), service: w.service, machine: w.machine, zone: w.zone, address: w.address,
		labels: w.labels, room: w.room, enforces: w.enforces, slowClock: w.slowClock,
	}
	x.workers = append(x.workers, next)
	return next
}

// start begins an incarnation.
func (w *worker) start() error {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", w.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.x.mu.Lock()
	w.up, w.draining, w.born, w.startAt = true, false, time.Now().UnixMilli(), time.Now()
	w.fence, w.leaseMS, w.lastEnd, w.seq = 0, 0, 0, 0
	w.running, w.highest, w.ended = map[string]*taskRun{}, map[string]int{}, nil
	w.changed, w.life = make(chan struct{}), make(chan struct{})
	life := w.life
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.serveStart))
	mux.HandleFunc("POST /run-stop", w.handle(w.serveStop))
	mux.HandleFunc("POST /pace", w.handle(w.servePace))
	mux.HandleFunc("POST /hold", w.handle(w.serveHold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux}
	server := w.server
	w.x.mu.Unlock()
	w.x.rec.add(w.id, "starts, born %d, labels %v, capacity %+v", w.born, w.labels, w.room)
	go func() { _ = server.Serve(l) }()
	go w.tick(life)
	go w.beat(life)
	return nil
}

// crash ends the incarnation: everything that runs there is gone.
func (w *worker) crash() {
	w.x.mu.Lock()
	if !w.up {
		w.x.mu.Unlock()
		return
	}
	w.up = false
	close(w.life)
	for _, r := range w.running {
		w.x.rec.add(w.id, "lost with the crash: %s run %d", r.task, r.run)
	}
	w.running = map[string]*taskRun{}
	server := w.server
	w.x.mu.Unlock()
	_ = server.Close()
	w.x.rec.add(w.id, "crashes")
}

// clockMS reads the worker's steady clock, which may be 2% slow.
func (w *worker) clockMS() int64 {
	elapsed := time.Since(w.startAt).Milliseconds()
	if w.slowClock {
		elapsed = elapsed * 98 / 100
	}
	return elapsed + 1
}

// answer is the outcome of a call.
type answer struct {
	status int
	body   map[string]any
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	Fence      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// handle decodes a call, and answers it unless it is one to be carried out late.
func (w *worker) handle(serve func(*order, chan struct{}) answer) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var o order
		if err := json.Unmarshal(content, &o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.x.mu.Lock()
		life, late, cut := w.life, w.late, w.cut
		w.x.mu.Unlock()
		if cut {
			<-r.Context().Done()
			return
		}
		if r.Header.Get("X-Expect-Instance") != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if late != nil {
			if after, is := late(r.URL.Path); is {
				w.x.rec.add(w.id, "%s %s run %d gets no answer and is carried out in %v", r.URL.Path, o.Task, o.Run, after)
				go func() {
					time.Sleep(after)
					serve(&o, life)
				}()
				<-r.Context().Done()
				return
			}
		}
		a := serve(&o, life)
		encoded, _ := json.Marshal(a.body)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(a.status)
		_, _ = rw.Write(encoded)
	}
}

func (w *worker) say(status int, reason string) answer {
	body := map[string]any{"clock_ms": w.clockMS()}
	if reason != "" {
		body["reason"] = reason
	}
	return answer{status, body}
}

// extend extends the lease, which is shortened to holdMaxMS.
func (w *worker) extend(untilMS int64) {
	w.leaseMS = max(w.leaseMS, min(untilMS, w.clockMS()+holdMaxMS))
}

func (w *worker) fenced(token uint64) bool {
	if token < w.fence {
		return true
	}
	w.fence = token
	return false
}

func (w *worker) used() capacity {
	var c capacity
	for _, r := range w.running {
		c.CPU += r.info.takes.CPU
		c.MemMB += r.info.takes.MemMB
		c.GPU += r.info.takes.GPU
	}
	return c
}

func (w *worker) serveStart(o *order, _ chan struct{}) answer {
	w.x.mu.Lock()
	defer w.x.mu.Unlock()
	if !w.up {
		return answer{http.StatusServiceUnavailable, nil}
	}
	if w.fenced(o.Fence) {
		return w.say(http.StatusConflict, "fence")
	}
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		w.extend(o.UntilMS)
		return w.say(http.StatusOK, "")
	}
	if o.UntilMS <= w.clockMS() {
		return w.say(http.StatusConflict, "late")
	}
	w.extend(o.UntilMS)
	if o.Run <= w.highest[o.Task] || w.running[o.Task] != nil {
		return w.say(http.StatusConflict, "old")
	}
	info, known := w.x.info(o.Task)
	if !known {
		w.x.rec.add(w.id, "told to start %s, which nobody sent", o.Task)
		return w.say(http.StatusBadRequest, "")
	}
	used := w.used()
	if w.enforces && (used.CPU+info.takes.CPU > w.room.CPU || used.MemMB+info.takes.MemMB > w.room.MemMB || used.GPU+info.takes.GPU > w.room.GPU) {
		return w.say(http.StatusConflict, "room")
	}
	r := &taskRun{task: o.Task, run: o.Run, info: info, worker: w, started: time.Now(), end: w.x.behave(o.Task, o.Run), saved: o.Checkpoint}
	r.done = w.x.saves[o.Checkpoint]
	w.x.checkOrder(w, r, o)
	w.running[o.Task] = r
	w.x.rec.add(w.id, "begins %s run %d (token %d, checkpoint %q)", o.Task, o.Run, o.Fence, o.Checkpoint)
	if w.x.onStart != nil {
		w.x.onStart(w, r)
	}
	if info.step.Gang {
		w.x.joinGang(r)
	}
	w.wake()
	return w.say(http.StatusOK, "")
}

func (w *worker) serveStop(o *order, _ chan struct{}) answer {
	w.x.mu.Lock()
	defer w.x.mu.Unlock()
	if !w.up {
		return answer{http.StatusServiceUnavailable, nil}
	}
	if w.fenced(o.Fence) {
		return w.say(http.StatusConflict, "fence")
	}
	if r := w.running[o.Task]; r != nil && r.run <= o.Run {
		if r.stopAt.IsZero() {
			w.x.rec.add(w.id, "told to stop %s run %d", o.Task, o.Run)
			r.stopAt = time.Now().Add(stopTakes)
		}
		return w.say(http.StatusOK, "")
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	return w.say(http.StatusOK, "")
}

func (w *worker) servePace(o *order, _ chan struct{}) answer {
	w.x.mu.Lock()
	defer w.x.mu.Unlock()
	if w.fenced(o.Fence) {
		return w.say(http.StatusConflict, "fence")
	}
	return w.say(http.StatusOK, "")
}

func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) serveHold(o *order, life chan struct{}) answer {
	w.x.mu.Lock()
	defer w.x.mu.Unlock()
	if !w.up || w.life != life {
		return answer{http.StatusServiceUnavailable, nil}
	}
	if w.fenced(o.Fence) {
		return w.say(http.StatusConflict, "fence")
	}
	if o.UntilMS > 0 {
		w.extend(o.UntilMS)
	}
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > o.LastSeen {
			kept = append(kept, e)
		} else {
			w.x.rec.add(w.id, "end of %s run %d (%s) is taken note of", e.task, e.run, e.how)
			if w.x.onNoted != nil {
				w.x.onNoted(w, e)
			}
		}
	}
	w.ended = kept
	until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for len(w.ended) == 0 && w.up && w.life == life && time.Now().Before(until) {
		changed := w.changed
		w.x.mu.Unlock()
		select {
		case <-changed:
		case <-life:
		case <-time.After(time.Until(until)):
		}
		w.x.mu.Lock()
	}
	if !w.up || w.life != life {
		return answer{http.StatusServiceUnavailable, nil}
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.run, r.saved, r.percent, r.info.takes.CPU})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return answer{http.StatusOK, map[string]any{"clock_ms": w.clockMS(), "born": w.born, "running": running, "ended": ended}}
}

// tick ends what is due.
func (w *worker) tick(life chan struct{}) {
	for {
		select {
		case <-life:
			return
		case <-time.After(5 * time.Millisecond):
		}
		w.x.mu.Lock()
		if w.up && w.life == life {
			w.advance()
		}
		w.x.mu.Unlock()
	}
}

func (w *worker) advance() {
	for _, r := range w.running {
		elapsed := time.Since(r.started) + r.done
		if r.info.step.Checkpointing {
			if n := int(elapsed / (500 * time.Millisecond)); n > int(r.done/(500*time.Millisecond)) {
				if name := fmt.Sprintf("%s-%d-%d", r.task, r.run, n); name != r.saved {
					r.saved = name
					w.x.saves[name] = time.Duration(n) * 500 * time.Millisecond
				}
			}
		}
		switch {
		case w.clockMS() > w.leaseMS:
			w.finish(r, "lapsed")
		case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
			w.finish(r, "stopped")
		case r.info.step.Gang:
			w.x.advanceGang(r)
		case r.info.step.LongRunning:
			r.percent = min(100, int(elapsed.Milliseconds()/5))
			if r.end.work > 0 && elapsed > r.end.work {
				w.finish(r, r.end.how)
			}
		case elapsed >= r.end.work:
			w.finish(r, r.end.how)
		default:
			r.percent = int(100 * elapsed / max(r.end.work, 1))
		}
	}
}

// finish lists the end of a run.
func (w *worker) finish(r *taskRun, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, r.task, r.run, how, r.saved})
	w.x.rec.add(w.id, "ends %s run %d: %s", r.task, r.run, how)
	if w.x.onEnd != nil {
		w.x.onEnd(w, r, how)
	}
	w.wake()
	if r.info.step.Gang {
		w.x.breakGang(r)
	}
}

func gangKey(r *taskRun) string {
	return fmt.Sprintf("%s#%d", r.task[:strings.LastIndexByte(r.task, '.')], r.run)
}

func (x *world) joinGang(r *taskRun) {
	g := x.gangs[gangKey(r)]
	if g == nil {
		g = &gangRun{members: map[string]*taskRun{}, since: time.Now()}
		x.gangs[gangKey(r)] = g
	}
	g.members[r.task] = r
	if len(g.members) == r.info.step.Count && g.complete.IsZero() {
		g.complete = time.Now()
	}
}

// advanceGang ends a member as failed, all members as done, or one that waits too long
// as alone.
func (x *world) advanceGang(r *taskRun) {
	g := x.gangs[gangKey(r)]
	if g.over {
		r.worker.finish(r, "broken")
		return
	}
	if g.complete.IsZero() {
		if time.Since(r.started) > gangTimeoutMS*time.Millisecond {
			r.worker.finish(r, "alone")
		}
		return
	}
	elapsed := time.Since(g.complete)
	r.percent = int(100 * elapsed / max(r.end.work, 1))
	if elapsed < r.end.work {
		return
	}
	if r.end.how != "done" {
		r.worker.finish(r, r.end.how)
		return
	}
	for _, m := range g.members {
		if m.end.how != "done" || time.Since(g.complete) < m.end.work {
			return
		}
	}
	g.over = true
	for _, m := range g.members {
		m.worker.finish(m, "done")
	}
}

// breakGang ends the other members of a gang of which one has ended.
func (x *world) breakGang(r *taskRun) {
	g := x.gangs[gangKey(r)]
	if g.over {
		return
	}
	g.over = true
	for _, m := range g.members {
		if m != r {
			m.worker.finish(m, "broken")
		}
	}
}

// beat sends status reports until the incarnation ends: the first one after firstBeat,
// then about one each heartbeatMS.
func (w *worker) beat(life chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	next, pause := w.firstControl, w.firstBeat
	for {
		select {
		case <-life:
			return
		case <-time.After(pause):
		}
		pause = time.Duration(heartbeatMS*(0.9+0.2*rand.Float64())) * time.Millisecond
		w.x.mu.Lock()
		if !w.up || w.life != life {
			w.x.mu.Unlock()
			return
		}
		if w.cut {
			w.x.mu.Unlock()
			continue
		}
		w.seq++
		state := "ready"
		if w.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
			"capacity": w.room, "labels": w.labels, "clock_ms": w.clockMS(), "seq": w.seq, "born": w.born, "machine": w.machine,
		})
		seq := w.seq
		w.x.mu.Unlock()
		targets := []string{}
		if next != "" {
			targets = append(targets, next)
		}
		for _, i := range rand.Perm(len(w.x.controls)) {
			targets = append(targets, w.x.controls[i])
		}
		for _, target := range targets {
			select {
			case <-life:
				return
			default:
			}
			response, err := client.Post("http://"+target+"/instances/"+w.id+"/heartbeat", "application/json", bytes.NewReader(body))
			status := 0
			next = ""
			if err == nil {
				status = response.StatusCode
				var m struct {
					Addr string `json:"heartbeat_addr"`
				}
				_ = json.NewDecoder(response.Body).Decode(&m)
				_ = response.Body.Close()
				next = m.Addr
			}
			if seq <= 2 || status != http.StatusOK {
				w.x.rec.add(w.id, "status report %d (born %d, labels %v) to %s -> %d", seq, w.born, w.labels, target, status)
			}
			if status == http.StatusOK {
				break
			}
		}
	}
}
