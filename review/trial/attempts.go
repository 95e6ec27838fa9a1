package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// attempts has a job of one task that always fails, on a queue with two attempts. A
// new version of the configuration removes the queue's route once the job is accepted.
// The rule is broken if the task starts after two runs of it have ended as failed and
// these ends were taken note of.
func attempts(d *deployment, trouble bool) (bool, error) {
	const workers, service, path, maxAttempts = 7, "lovo22d", "/kafi706/00000000000000b1", 2
	route := func(name, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"host":"pule25.example","path_prefix":%q,"kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":%q,"max_attempts":%d,"stretch":1.6}`, name, prefix, service, maxAttempts)
	}
	config := func(version int, routes ...string) string {
		return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, strings.Join(routes, ","), service)
	}
	if err := d.startSystem(4, 2); err != nil {
		return false, err
	}
	if !d.configure("4", config(4, route("r-5xwyhks", "/kafi706/"), route("r-8nbkxxm", "/tije37/")), 20*time.Second) {
		return false, errNotRun
	}
	var mu sync.Mutex
	starts, seen, late := 0, 0, 0
	observe := func(_, line string) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case strings.HasPrefix(line, "start "):
			starts++
			if seen >= maxAttempts {
				late++
			}
		case strings.HasPrefix(line, "seen ") && strings.HasSuffix(line, " failed"):
			seen++
		}
	}
	for i := range workers {
		labels := []string{"a", fmt.Sprintf("r%d-1", i%len(zones))}
		if err := d.startWorker(i, service, fmt.Sprintf("m-%05d", i), labels, observe); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	if !d.submit(path, `{"spec":"1000 failed","steps":[{"count":1,"cpu":3500,"mem_mb":10000,"estimate_ms":900}]}`, 10*time.Second) {
		return false, errNotRun
	}
	if trouble && !d.configure("9, without the route", config(9, route("r-8nbkxxm", "/tije37/")), 10*time.Second) {
		return false, errNotRun
	}
	state := ""
	for i := range 40 {
		time.Sleep(time.Second)
		if now := d.state(i, path); now != state {
			state = now
			d.record.add("client: GET %s: %s", path, state)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	d.record.add("max_attempts %d: %d starts, %d ends as failed taken note of, %d starts after the second of them, shown as %s", maxAttempts, starts, seen, late, state)
	if !trouble && (starts != maxAttempts || state != "failed") {
		return false, errNotRun
	}
	return late > 0, nil
}
