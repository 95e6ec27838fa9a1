package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// upkeepTime is maintenance_s of the settings.
const upkeepTime = 2 * time.Second

// cloud is a stand-in for the platform: it lists the machines and carries out upkeeps. It
// moves no machine, since each deployment here has the machines that its services need.
type cloud struct {
	x *world
	// waves holds the machines of each wave, caps its cap.
	waves map[int64][]string
	caps  map[int64]int
	// done holds the machines whose upkeep was carried out, by wave.
	done map[int64]map[string]bool
	// inUpkeep holds the machines that are down, with the wave.
	inUpkeep map[string]int64
	// tokens holds the highest fencing token by machine.
	tokens map[string]uint64
	// extra is appended to each list.
	extra func() []map[string]any
	// onUpkeep is called, with the lock held, as an upkeep begins.
	onUpkeep func(machine string, wave int64)
	lists    int
}

func newCloud(x *world) *cloud {
	return &cloud{x: x, waves: map[int64][]string{}, caps: map[int64]int{}, done: map[int64]map[string]bool{}, inUpkeep: map[string]int64{}, tokens: map[string]uint64{}}
}

func (c *cloud) serve(address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.serveList)
	mux.HandleFunc("POST /machine-move", func(rw http.ResponseWriter, r *http.Request) {
		var m map[string]any
		_ = json.NewDecoder(r.Body).Decode(&m)
		c.x.rec.add("cloud", "move %v -> 409 busy", m)
		refuse(rw, http.StatusConflict, "busy")
	})
	mux.HandleFunc("POST /machine-upkeep", c.serveUpkeep)
	server := &http.Server{Addr: address, Handler: mux}
	go func() { _ = server.ListenAndServe() }()
	return nil
}

func refuse(rw http.ResponseWriter, status int, reason string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(map[string]string{"reason": reason})
}

// serveList lists each machine once, by the newest worker on it.
func (c *cloud) serveList(rw http.ResponseWriter, _ *http.Request) {
	c.x.mu.Lock()
	list, at := []map[string]any{}, map[string]int{}
	for _, w := range c.x.workers {
		state, id := "up", w.id
		if _, down := c.inUpkeep[w.machine]; down {
			state, id = "upkeep", ""
		} else if !w.up {
			state, id = "down", ""
		}
		entry := map[string]any{"machine": w.machine, "pool": w.service, "state": state, "zone": w.zone, "labels": w.labels, "capacity": w.room, "id": id}
		if i, known := at[w.machine]; known {
			list[i] = entry
			continue
		}
		at[w.machine] = len(list)
		list = append(list, entry)
	}
	if c.extra != nil {
		list = append(list, c.extra()...)
	}
	c.lists++
	if len(c.inUpkeep) > 0 {
		states := map[string]any{}
		for m := range c.inUpkeep {
			states[m] = "upkeep"
		}
		c.x.rec.add("cloud", "list of %d entries, of which in upkeep: %v", len(list), states)
	}
	c.x.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": list, "next_page_token": ""})
}

func (c *cloud) serveUpkeep(rw http.ResponseWriter, r *http.Request) {
	var m struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	holder, token := r.Header.Get("X-Lease-Holder"), parseToken(r.Header.Get("X-Fencing-Token"))
	status, reason := c.upkeep(m.Machine, m.Wave, token)
	c.x.rec.add("cloud", "upkeep of %s for wave %d by %s (token %d) -> %d %s", m.Machine, m.Wave, holder, token, status, reason)
	if status != http.StatusOK {
		refuse(rw, status, reason)
		return
	}
	_, _ = rw.Write([]byte("{}"))
}

func parseToken(text string) uint64 {
	var n uint64
	_ = json.Unmarshal([]byte(text), &n)
	return n
}

func (c *cloud) upkeep(machine string, wave int64, token uint64) (int, string) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	var on *worker
	for _, w := range c.x.workers {
		if w.machine == machine {
			on = w
		}
	}
	switch {
	case on == nil:
		return http.StatusBadRequest, ""
	case token < c.tokens[machine]:
		return http.StatusConflict, "fence"
	}
	c.tokens[machine] = token
	switch {
	case !slices.Contains(c.waves[wave], machine):
		return http.StatusConflict, "wave"
	case c.done[wave][machine]:
		return http.StatusOK, ""
	case !on.up || on.draining:
		return http.StatusConflict, "busy"
	}
	if c.onUpkeep != nil {
		c.onUpkeep(machine, wave)
	}
	if c.done[wave] == nil {
		c.done[wave] = map[string]bool{}
	}
	c.done[wave][machine] = true
	c.inUpkeep[machine] = wave
	go c.carryOut(on)
	return http.StatusOK, ""
}

// carryOut ends the worker and lets a new one join after upkeepTime.
func (c *cloud) carryOut(w *worker) {
	w.crash()
	time.Sleep(upkeepTime)
	next := c.x.successor(w)
	if err := next.start(); err != nil {
		c.x.rec.add("cloud", "no new worker on %s: %v", w.machine, err)
	}
	c.x.mu.Lock()
	delete(c.inUpkeep, w.machine)
	c.x.mu.Unlock()
	c.x.rec.add("cloud", "%s is up again with worker %s", w.machine, next.id)
}
