package main

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// founding: at the first start of the whole system one core machine, a seed that starts a
// quarter of a second after the others, is lost for good as soon as it has started; an
// empty one takes its place at another address a second later. The others have to serve.
func founding(d *deployment, x *world, trouble bool) error {
	fourth, err := d.add("core-4", 4, true)
	if err != nil {
		return err
	}
	seed := d.controls[2]
	d.controls = append(d.controls, fourth)
	for _, p := range append([]*process{d.controls[0], d.controls[1], fourth}, d.entries...) {
		if err := d.start(p); err != nil {
			return err
		}
	}
	if err := newCloud(x).serve(d.cloudAddress()); err != nil {
		return err
	}
	time.Sleep(250 * time.Millisecond)
	if err := d.start(seed); err != nil {
		return err
	}
	if trouble {
		time.Sleep(10 * time.Millisecond)
		d.signal(seed, syscall.SIGKILL)
		x.rec.add("bench", "%s is gone for good", seed.node)
		time.Sleep(time.Second)
		next, err := d.add("core-5", 5, true)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(next.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(next.settings, []byte(strings.Replace(string(text), "bootstrap = true", "bootstrap = false", 1)), 0o600); err != nil {
			return err
		}
		d.controls = append(d.controls, next)
		if err := d.start(next); err != nil {
			return err
		}
	}
	for range 3 {
		if err := x.newWorker("i-"+newID()[:4], "svc", d.ip(150), []string{"a", "r1-0"}, capacity{CPU: 16000, MemMB: 65536}, true).start(); err != nil {
			return err
		}
	}
	routes, services := []route{newRoute("q", "svc", 3)}, []serviceConfig{newService("svc", true)}
	acked := false
	for until := time.Now().Add(60 * time.Second); !acked && time.Now().Before(until); {
		acked = d.configure(1, routes, services) == nil
	}
	if !acked {
		x.rec.breaks("Fault: no ack of the first configuration in 60 s, although 3 of 4 core machines run and reach each other, and a fourth one again")
	}
	j := &job{ID: newID(), Route: "q", Spec: "work", Steps: []step{{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: 1000}}}
	x.addJob(j)
	if status := d.submit(j); status != http.StatusOK {
		x.rec.breaks("Fault: no request is served: a job is answered %d", status)
	}
	return nil
}
