package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// labels: a worker crashes and starts again under its id, at its address, as one of
// another kind. Tasks with a required label must not start on it.
func labels(d *deployment, x *world, trouble bool) error {
	x.onStart = func(w *worker, r *taskRun) {
		if l := r.info.step.RequiredLabel; l != "" && !slices.Contains(w.labels, l) {
			x.rec.breaks("ROUTE: %s run %d, which requires the label %q, starts on %s, whose labels are %v (it started %d ms before)", r.task, r.run, l, w.id, w.labels, w.clockMS())
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	if err := newCloud(x).serve(d.cloudAddress()); err != nil {
		return err
	}
	for i := range 8 {
		kind := "a"
		if i >= 4 {
			kind = "b"
		}
		w := x.newWorker(fmt.Sprintf("i-%d", i), "svc", d.ip(150+i), []string{kind, fmt.Sprintf("r1-%d", i/4)}, capacity{CPU: 16000, MemMB: 65536}, true)
		if err := w.start(); err != nil {
			return err
		}
	}
	if err := d.configure(1, []route{newRoute("q", "svc", 3)}, []serviceConfig{newService("svc", true)}); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	hand := func(count int, label string) *job {
		j := &job{ID: newID(), Route: "q", Spec: "work", Steps: []step{{Count: count, CPU: 4000, MemMB: 1000, EstimateMS: 1000, RequiredLabel: label}}}
		x.addJob(j)
		d.submit(j)
		return j
	}
	// Twelve tasks fill three workers.
	first := hand(12, "a")
	if s := d.awaitState(first, 10*time.Second, "succeeded"); s != "succeeded" {
		return fmt.Errorf("the first job is %s", s)
	}
	fill := func() {
		for range 2 {
			j := hand(16, "a")
			if s := d.awaitState(j, 12*time.Second, "succeeded"); s != "succeeded" {
				x.rec.add("client", "job %s is %s after 12 s", j.ID, s)
			}
		}
	}
	if !trouble {
		fill()
		fill()
		return nil
	}
	// First: a crash alone. The first status report of the new incarnation comes within
	// heartbeat_ms of its start.
	x.workers[0].firstBeat = time.Duration(rand.IntN(heartbeatMS)) * time.Millisecond
	if err := restartAs(x, x.workers[0], "b"); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	fill()
	// Second: a crash while a control machine, which does not lead, is frozen for 4 s. The
	// new incarnation reports at once, to that machine first.
	frozen := d.follower()
	w := x.workers[1]
	w.firstControl = fmt.Sprintf("%s:%d", d.ip(frozen+1), controlPort)
	d.signal(d.controls[frozen], syscall.SIGSTOP)
	thaw := time.AfterFunc(4*time.Second, func() { d.signal(d.controls[frozen], syscall.SIGCONT) })
	defer thaw.Stop()
	if err := restartAs(x, w, "b"); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	fill()
	return nil
}

// restartAs crashes a worker and starts it again 2 s later, under the same id and at the
// same address, as a worker of another kind.
func restartAs(x *world, w *worker, kind string) error {
	w.crash()
	time.Sleep(2 * time.Second)
	x.mu.Lock()
	w.labels = []string{kind, w.labels[1]}
	x.mu.Unlock()
	return w.start()
}
