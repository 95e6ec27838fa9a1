package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// crashLoop has one job of one task and one job that lasts, each of which may run on
// one machine only. The worker on that machine crashes soon after it has begun the
// task, and is back a second later, crashes times in a row; then it stays up. No run
// ends as failed and nobody cancels. The rule is broken if a job is shown as failed.
func crashLoop(d *deployment, trouble bool) (bool, error) {
	const workers, service = 14, "lovo22d"
	cases := []*loopingMachine{
		{index: 0, path: "/tije37/00000000000000a1", label: "b", spec: "800 done", crashes: 3, wanted: "succeeded"},
		{index: 1, path: "/tije37/00000000000000a2", label: "c", spec: "lasts", crashes: 5, wanted: "running"},
	}
	if err := d.startSystem(4, 2); err != nil {
		return false, err
	}
	config := fmt.Sprintf(`{"version":4,"routes":[{"name":"r-8nbkxxm","host":"pule25.example","path_prefix":"/tije37/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":2500,"priority":0,"service":%q,"max_attempts":4,"stretch":2.2}],"services":[{"name":%q,"health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, service, service)
	if !d.configure("4", config, 20*time.Second) {
		return false, errNotRun
	}
	for i := range workers {
		labels := []string{"a", fmt.Sprintf("r%d-1", i%len(zones))}
		observe := func(string, string) {}
		if i < len(cases) {
			c := cases[i]
			c.d, c.trouble, c.service = d, trouble, service
			labels = []string{c.label, labels[1]}
			c.labels = labels
			observe = c.observe
		}
		if err := d.startWorker(i, service, fmt.Sprintf("m-%05d", i), labels, observe); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	for _, c := range cases {
		step := fmt.Sprintf(`{"count":1,"cpu":5400,"mem_mb":27000,"estimate_ms":900,"required_label":%q`, c.label)
		if c.wanted == "running" {
			step += `,"long_running":true`
		}
		if !d.submit(c.path, fmt.Sprintf(`{"spec":%q,"steps":[%s}]}`, c.spec, step), 10*time.Second) {
			return false, errNotRun
		}
	}
	for i := range 35 {
		time.Sleep(time.Second)
		for _, c := range cases {
			if state := d.state(i, c.path); state != c.state {
				c.state = state
				d.record.add("client: GET %s: %s", c.path, state)
			}
		}
	}
	isBroken := false
	for _, c := range cases {
		c.mu.Lock()
		d.record.add("%s: %d starts, %d crashes, %d ends as failed, shown as %s, wanted %s", c.path, c.starts, c.crashed, c.failedEnds, c.state, c.wanted)
		if c.state == "failed" && c.failedEnds == 0 {
			isBroken = true
		}
		c.mu.Unlock()
		if !trouble && c.state != c.wanted {
			return false, errNotRun
		}
	}
	return isBroken, nil
}

// loopingMachine is a machine whose worker crashes again and again.
type loopingMachine struct {
	d           *deployment
	trouble     bool
	index       int
	path, label string
	spec        string
	service     string
	labels      []string
	crashes     int
	wanted      string
	state       string

	mu                          sync.Mutex
	starts, crashed, failedEnds int
}

// crashAfter is the time from the start of a task to the crash of its worker.
const crashAfter = 200 * time.Millisecond

// observe handles a line of the worker.
func (c *loopingMachine) observe(_, line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if strings.HasPrefix(line, "end ") && strings.HasSuffix(line, " failed") {
		c.failedEnds++
	}
	if !strings.HasPrefix(line, "start ") {
		return
	}
	c.starts++
	if !c.trouble || c.crashed == c.crashes {
		return
	}
	c.crashed++
	go func() {
		time.Sleep(crashAfter)
		name := fmt.Sprintf("m-%05d", c.index)
		c.d.crash(name)
		time.Sleep(time.Second)
		if err := c.d.startWorker(c.index, c.service, name, c.labels, c.observe); err != nil {
			c.d.record.add("worker on %s not started: %s", name, err)
		}
	}()
}
