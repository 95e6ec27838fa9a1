package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// waveList: an entry of another writer, in which fields are missing, stands in the list of
// machines beside those of the platform. No more machines of a wave than its cap may be
// down for it at once.
func waveList(d *deployment, x *world, trouble bool) error {
	c := newCloud(x)
	c.onUpkeep = func(machine string, wave int64) {
		down := 0
		for _, w := range c.inUpkeep {
			if w == wave {
				down++
			}
		}
		if down >= c.caps[wave] {
			x.rec.breaks("LIMIT: the upkeep of %s for wave %d begins while %d machines of the wave are down for theirs (%v), cap %d", machine, wave, down, c.inUpkeep, c.caps[wave])
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	if err := c.serve(d.cloudAddress()); err != nil {
		return err
	}
	var machines []string
	for i := range 8 {
		w := x.newWorker(fmt.Sprintf("i-%d", i), "svc", d.ip(150+i), []string{"a", fmt.Sprintf("r1-%d", i/4)}, capacity{CPU: 16000, MemMB: 65536}, true)
		if err := w.start(); err != nil {
			return err
		}
		machines = append(machines, w.machine)
	}
	if err := d.configure(1, []route{newRoute("q", "svc", 3)}, []serviceConfig{newService("svc", true)}); err != nil {
		return err
	}
	time.Sleep(7 * time.Second)
	if trouble {
		x.mu.Lock()
		c.extra = func() []map[string]any {
			return []map[string]any{{"machine": machines[2], "state": "up"}}
		}
		x.mu.Unlock()
		x.rec.add("bench", "from now on the list ends with {machine: %s, state: up}, without pool, zone, labels, capacity and id", machines[2])
	}
	x.mu.Lock()
	c.waves[1], c.caps[1] = machines[:4], 1
	x.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"wave": 1, "machines": machines[:4], "deadline_s": 26, "cap": 1})
	started := false
	for i := 0; i < 20 && !started; i++ {
		status, _ := d.post("http://"+d.controlAddresses()[i%3]+"/wave-start", body)
		x.rec.add("operator", "POST /wave-start %s -> %d", body, status)
		started = status == 200
		time.Sleep(200 * time.Millisecond)
	}
	if !started {
		return fmt.Errorf("the wave was not acknowledged")
	}
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		response, err := d.client.Get("http://" + d.controlAddresses()[0] + "/wave-get/1")
		if err != nil {
			continue
		}
		var m struct {
			State string `json:"state"`
		}
		_ = json.NewDecoder(response.Body).Decode(&m)
		_ = response.Body.Close()
		if m.State == "succeeded" {
			x.rec.add("operator", "the wave is succeeded")
			return nil
		}
	}
	x.rec.add("operator", "the wave is not succeeded after 60 s")
	return nil
}
