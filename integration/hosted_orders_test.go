package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

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
		w.extend(o.UntilMS)
		w.refuse(rw, "old")
		return
	case o.UntilMS < w.clock():
		w.refuse(rw, "late")
		return
	case !w.overcommits && int64(len(w.running))*hostedTaskCPU >= w.capacity:
		w.extend(o.UntilMS)
		w.refuse(rw, "room")
		return
	}
	spec, deadly := strings.CutPrefix(o.Spec, deadlySpec)
	length, err := time.ParseDuration(spec)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.extend(o.UntilMS)
	started := &hostedRun{task: o.Task, run: o.Run, endsAt: time.Now().Add(length)}
	w.running[o.Task] = started
	w.ledger.recordStart(w, o.Task, o.Run)
	w.checkCapacity(o.Task)
	if deadly && isDeadly(o.Task) {
		started.endsAt = time.Now().Add(time.Hour)
		time.AfterFunc(length, func() { w.crash(started) })
	}
	w.accept(rw)
}

func (w *hostedWorker) serveStop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.receiveOrder(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
	if running := w.running[o.Task]; running != nil && running.run == o.Run && !running.stopped {
		running.stopped, running.endsAt = true, time.Now().Add(w.stopTime)
		w.advance()
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
	w.extend(o.UntilMS)
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
