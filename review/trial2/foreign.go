package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// foreign: a status report of another writer, in which fields are missing, names the
// address of a worker that is up. No task may run twice at the same time.
func foreign(d *deployment, x *world, trouble bool) error {
	x.behave = func(string, int) runEnd { return runEnd{8 * time.Second, "done"} }
	x.onStart = checkOneRun(x)
	if err := d.startAll(); err != nil {
		return err
	}
	if err := newCloud(x).serve(d.cloudAddress()); err != nil {
		return err
	}
	for i := range 8 {
		w := x.newWorker(fmt.Sprintf("i-%d", i), "svc", d.ip(150+i), []string{"a", fmt.Sprintf("r1-%d", i/4)}, capacity{CPU: 16000, MemMB: 65536}, true)
		if err := w.start(); err != nil {
			return err
		}
	}
	if err := d.configure(1, []route{newRoute("q", "svc", 3)}, []serviceConfig{newService("svc", true)}); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	j := &job{ID: newID(), Route: "q", Spec: "work", Steps: []step{{Count: 16, CPU: 4000, MemMB: 1000, EstimateMS: 8000}}}
	x.addJob(j)
	if status := d.submit(j); status != 200 {
		return fmt.Errorf("the job was answered %d", status)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w := x.busiest()
		// What Service discovery lists, and born; capacity, labels, machine and clock_ms
		// are missing.
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"seq": 1, "born": time.Now().UnixMilli(),
		})
		for _, control := range d.controlAddresses() {
			status, content := d.post("http://"+control+"/instances/other-writer/heartbeat", body)
			x.rec.add("other writer", "POST /instances/other-writer/heartbeat %s to %s -> %d %s", body, control, status, content)
			if status == 200 {
				break
			}
		}
	}
	if s := d.awaitState(j, 40*time.Second, "succeeded", "failed"); s != "succeeded" {
		x.rec.add("client", "the job is %s in the end", s)
	}
	return nil
}

// busiest returns the worker with the most runs.
func (x *world) busiest() *worker {
	x.mu.Lock()
	defer x.mu.Unlock()
	found := x.workers[0]
	for _, w := range x.workers {
		if len(w.running) > len(found.running) {
			found = w
		}
	}
	return found
}

// checkOneRun returns a check that no two runs of a task work at the same time on
// workers that are up.
func checkOneRun(x *world) func(*worker, *taskRun) {
	return func(w *worker, r *taskRun) {
		for _, other := range x.workers {
			if first := other.running[r.task]; other != w && other.up && first != nil {
				x.rec.breaks("TWICE: %s run %d begins on %s while run %d is at work on %s, which is up", r.task, r.run, w.id, first.run, other.id)
			}
		}
	}
}
