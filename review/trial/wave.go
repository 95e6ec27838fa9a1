package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// wave has a pool of three machines and, on each, a job of two tasks that last, of which
// one may be missed at a time. The operator asks for the upkeep of the machines, as many
// at once as the pool has. The rule is broken if a task stays away for so long that it
// counts as lost, while all workers of its pool are up and have room for it.
func wave(d *deployment, trouble bool) (bool, error) {
	const machines, service = 3, "lovo22d"
	var tasks []string
	if err := d.startSystem(4, 2); err != nil {
		return false, err
	}
	config := fmt.Sprintf(`{"version":4,"routes":[{"name":"r-8nbkxxm","host":"pule25.example","path_prefix":"/tije37/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":2500,"priority":0,"service":%q,"max_attempts":4,"stretch":2.2}],"services":[{"name":%q,"health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, service, service)
	if !d.configure("4", config, 20*time.Second) {
		return false, errNotRun
	}
	w := &watch{running: map[string]string{}, since: map[string]time.Time{}}
	d.onLoss = w.lose
	var names []string
	for i := range machines {
		labels := []string{"a", fmt.Sprintf("r%d-1", i)}
		name := fmt.Sprintf("m-%05d", i)
		names = append(names, fmt.Sprintf("%q", name))
		start := func() error { return d.startWorker(i, service, name, labels, w.observe) }
		d.cloud.upkeep[name] = func() {
			d.crash(name)
			time.Sleep(2 * time.Second)
			if err := start(); err != nil {
				d.record.add("worker on %s not started: %s", name, err)
			}
		}
		if err := start(); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	for i := range machines {
		id := fmt.Sprintf("00000000000000d%d", i+1)
		// The data of each job is on another rack, so that each machine gets one job.
		job := fmt.Sprintf(`{"spec":"lasts","steps":[{"count":2,"cpu":5400,"mem_mb":27000,"estimate_ms":900,"long_running":true,"may_miss":1,"data_rack":"r%d-1"}]}`, i)
		if !d.submit("/tije37/"+id, job, 10*time.Second) {
			return false, errNotRun
		}
		tasks = append(tasks, id+".0.0.0", id+".0.0.1")
	}
	time.Sleep(5 * time.Second)
	if away, _ := w.away(tasks); len(away) > 0 {
		d.record.add("%v are not at work before the wave", away)
		return false, errNotRun
	}
	if trouble {
		status, body := d.control(0, "POST", "/wave-start", fmt.Sprintf(`{"wave":1,"machines":[%s],"deadline_s":27,"cap":%d}`, strings.Join(names, ","), machines))
		d.record.add("operator: POST /wave-start 1, machines %s, deadline_s 27, cap %d: %d %s", strings.Join(names, ","), machines, status, body)
		if status != 200 {
			return false, errNotRun
		}
	}
	longest, state, isBroken := time.Duration(0), "", false
	for i := range 60 {
		time.Sleep(time.Second)
		away, since := w.away(tasks)
		longest = max(longest, since)
		isBroken = isBroken || since > absenceLimit && d.cloud.calm() > calmTime
		if len(away) > 0 && i%5 == 0 {
			d.record.add("not running: %s, the first for %.1f s; machines up: %s", strings.Join(away, " "), since.Seconds(), d.cloud.up())
		}
		if status, body := d.control(1, "GET", "/wave-get/1", ""); trouble && body != state {
			state = body
			d.record.add("operator: GET /wave-get/1: %d %s", status, body)
		}
	}
	for i := range machines {
		path := fmt.Sprintf("/tije37/00000000000000d%d", i+1)
		d.record.add("client: GET %s: %s", path, d.state(i, path))
	}
	d.record.add("the longest absence of a task from all workers was %.1f s, %d upkeeps were ordered", longest.Seconds(), d.cloud.upkeeps())
	return isBroken, nil
}

// absenceLimit is the time without a run after which a task that lasts is lost, if there
// is room for it: 6 s, and 3 s in which it does not run.
const absenceLimit = 9 * time.Second

// calmTime is the 3 s of an absence that counts and the 4 s before them, in which no
// machine goes down or comes up.
const calmTime = 7 * time.Second

// watch follows which tasks run.
type watch struct {
	mu      sync.Mutex
	running map[string]string
	since   map[string]time.Time
}

func (w *watch) observe(worker, line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fields := strings.Fields(line)
	switch {
	case len(fields) > 2 && fields[0] == "start":
		w.running[fields[1]] = worker
	case len(fields) > 2 && fields[0] == "end" && w.running[fields[1]] == worker:
		delete(w.running, fields[1])
		w.since[fields[1]] = time.Now()
	}
}

// lose records that a worker has ended with all that ran on it.
func (w *watch) lose(worker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, on := range w.running {
		if on == worker {
			delete(w.running, task)
			w.since[task] = time.Now()
		}
	}
}

// away returns the tasks that do not run, the one that is away for the longest first,
// and for how long that is.
func (w *watch) away(tasks []string) (away []string, longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range tasks {
		if w.running[name] != "" {
			continue
		}
		away = append(away, name)
		longest = max(longest, time.Since(w.since[name]))
	}
	slices.SortFunc(away, func(a, b string) int { return w.since[a].Compare(w.since[b]) })
	return away, longest
}
