package main

import (
	"encoding/json"
	"net/http"
)

// cloud is a stand-in for the platform's list of machines. Here no machine is moved and
// no upkeep is asked for.
type cloud struct{ x *world }

func (c *cloud) serve(address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(rw http.ResponseWriter, _ *http.Request) {
		c.x.mu.Lock()
		defer c.x.mu.Unlock()
		list := []map[string]any{}
		for _, w := range c.x.workers {
			state := "up"
			if !w.up {
				state = "down"
			}
			list = append(list, map[string]any{"machine": w.machine, "pool": w.service, "state": state, "zone": w.zone, "labels": w.labels, "capacity": w.room, "id": w.id})
		}
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(map[string]any{"machines": list, "next_page_token": ""})
	})
	refuse := func(rw http.ResponseWriter, r *http.Request) {
		var m map[string]any
		_ = json.NewDecoder(r.Body).Decode(&m)
		c.x.rec.add("cloud", "%s %v -> 409 busy", r.URL.Path, m)
		rw.WriteHeader(http.StatusConflict)
		_, _ = rw.Write([]byte(`{"reason":"busy"}`))
	}
	mux.HandleFunc("POST /machine-move", refuse)
	mux.HandleFunc("POST /machine-upkeep", refuse)
	server := &http.Server{Addr: address, Handler: mux}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	return nil
}
