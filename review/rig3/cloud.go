package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloud is a stand-in for the platform's interface for machines. It checks fencing
// tokens.
type cloud struct {
	d  *deployment
	ip string

	mu       sync.Mutex
	machines []*machine
}

// machine is a machine with at most one worker.
type machine struct {
	name, pool, state string
	number            int
	cpu, memory       int64
	worker            *worker
	token             uint64
}

// Times of a machine.
const (
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
)

func startCloud(d *deployment) (*cloud, error) {
	c := &cloud{d: d, ip: d.subnet + "249"}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.ip, cloudPort))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-move", func(rw http.ResponseWriter, r *http.Request) { c.order(rw, r, "moving", moveTime) })
	mux.HandleFunc("POST /machine-upkeep", func(rw http.ResponseWriter, r *http.Request) { c.order(rw, r, "upkeep", maintenanceTime) })
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return c, nil
}

// addMachines adds machines with a worker each to a pool.
func (c *cloud) addMachines(pool string, count int, cpu, memory int64) error {
	for range count {
		c.mu.Lock()
		m := &machine{name: fmt.Sprintf("m-%02d", len(c.machines)), pool: pool, state: "up", number: len(c.machines), cpu: cpu, memory: memory}
		c.machines = append(c.machines, m)
		c.mu.Unlock()
		w, err := c.d.startWorker(pool, m.name, m.number, cpu, memory)
		if err != nil {
			return err
		}
		c.mu.Lock()
		m.worker = w
		c.mu.Unlock()
	}
	return nil
}

func (c *cloud) list(rw http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range c.machines {
		row := map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": zones[m.number%len(zones)], "labels": []string{"a"},
			"capacity": map[string]any{"cpu": m.cpu, "mem_mb": m.memory, "gpu": 0}, "id": ""}
		if m.worker != nil {
			row["id"] = m.worker.id
		}
		rows = append(rows, row)
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": rows, "next_page_token": nil})
}

func (c *cloud) order(rw http.ResponseWriter, r *http.Request, state string, takes time.Duration) {
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	var m *machine
	for _, known := range c.machines {
		if known.name == o.Machine {
			m = known
		}
	}
	reply := func(status int, reason string) {
		c.d.record.note("%s -> cloud: %s %s -> %d %s", r.Header.Get("X-Lease-Holder"), r.URL.Path, o.Machine, status, reason)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(map[string]any{"reason": reason})
	}
	switch {
	case m == nil:
		reply(http.StatusBadRequest, "")
		return
	case token < m.token:
		reply(http.StatusConflict, "fence")
		return
	}
	m.token = token
	if state == "moving" && m.pool == o.Pool {
		reply(http.StatusOK, "")
		return
	}
	if m.state != "up" {
		reply(http.StatusConflict, "busy")
		return
	}
	m.state = state
	if state == "moving" {
		m.pool = o.Pool
	}
	if m.worker != nil {
		m.worker.kill()
		m.worker = nil
	}
	time.AfterFunc(takes, func() {
		w, err := c.d.startWorker(m.pool, m.name, m.number, m.cpu, m.memory)
		if err != nil {
			c.d.record.note("machine %s: %v", m.name, err)
			return
		}
		c.mu.Lock()
		m.worker, m.state = w, "up"
		c.mu.Unlock()
	})
	reply(http.StatusOK, "")
}

// lose ends the worker of a machine, which is down then.
func (c *cloud) lose(w *worker) {
	w.kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.name == w.machine {
			m.state, m.worker = "down", nil
		}
	}
}

// show lists a worker on its machine, which is added if it is new.
func (c *cloud) show(w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.name == w.machine {
			m.state, m.worker = "up", w
			return
		}
	}
	c.machines = append(c.machines, &machine{name: w.machine, pool: w.service, state: "up", cpu: w.cpu, memory: w.memory, worker: w})
}
