package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Figures of playLate.
const (
	// lateMachines is the size of each of two pools, 48 machines together.
	lateMachines = 24
	// reused is how many workers crash for good: less than a share of 0.15 of 48.
	reused = 7
	// lateWorkMS is how long a task works, and lateCPU that only one fits a worker.
	lateWorkMS = 3000
	lateCPU    = 40_000
	// reuseAfter is the time after which an address goes to another worker.
	reuseAfter = 2 * time.Second
)

// lateJob returns the path of a job of playLate.
func lateJob(i int) string { return fmt.Sprintf("/kepek/00000000000000e%x", i) }

// playLate lets workers crash for good. Their addresses go to workers of another service
// on other machines, which crash too, and whose machines come back with another worker at
// another address. The reports of the crashed ones arrive after that. Once all jobs are
// shown as succeeded, the leader is killed and started again.
func playLate(d *deployment, trouble bool) (bool, error) {
	if err := startPools(d, 2, lateMachines); err != nil {
		return false, err
	}
	for i := range reused {
		if !d.submit(lateJob(i), job(1, lateCPU, 10_000, lateWorkMS)) {
			return false, fmt.Errorf("a job is not accepted")
		}
	}
	time.Sleep(time.Second)
	var crashed []*worker
	for _, w := range d.allWorkers() {
		if w.runs("00000000000000e") {
			crashed = append(crashed, w)
			d.cloud.lose(w)
			d.record.note("platform: worker %s at %s crashes for good", w.id, w.address)
		}
	}
	if len(crashed) > reused {
		return false, fmt.Errorf("%d workers run the jobs", len(crashed))
	}
	time.Sleep(reuseAfter)
	if err := d.reuseAddresses(crashed, trouble); err != nil {
		return false, err
	}
	for i := range reused {
		if state := d.awaitState(lateJob(i), "succeeded", 15*time.Second); state != "succeeded" {
			return false, fmt.Errorf("job %d is %q", i, state)
		}
	}
	const pause = 2 * time.Second
	time.Sleep(pause)
	leader := d.leader()
	d.record.note("platform: kills %s, which leads, and starts it again", leader.name)
	leader.kill()
	if err := leader.start(); err != nil {
		return false, err
	}
	const watched = 14 * time.Second
	time.Sleep(watched)
	shown := 0
	for i := range reused {
		if d.state(lateJob(i)) != "succeeded" {
			shown++
		}
	}
	again := d.startsAfterDone()
	d.record.note("%d of %d jobs that were shown as succeeded are shown as something else; %d starts after an end done that was taken note of", shown, reused, again)
	return again > 0, nil
}

// reuseAddresses gives the addresses of crashed workers to workers of another service on
// machines of their own. These crash, and their machines come back with a worker at
// another address. With trouble the status reports of the former arrive last.
func (d *deployment) reuseAddresses(crashed []*worker, trouble bool) error {
	var late []*worker
	for i, former := range crashed {
		w, err := d.startWorkerAt(former.address, "naplo", fmt.Sprintf("m-new-%d", i), i, workerCPU, workerMemory, false)
		if err != nil {
			return err
		}
		d.cloud.show(w)
		d.record.note("platform: worker %s of another service at %s; its status report is held up", w.id, w.address)
		late = append(late, w)
	}
	const life = 300 * time.Millisecond
	time.Sleep(life)
	reports := make([]string, len(late))
	for i, w := range late {
		reports[i] = w.heartbeat()
		d.cloud.lose(w)
	}
	time.Sleep(life)
	for i, w := range late {
		next, err := d.startWorkerAt(fmt.Sprintf("%s%d:%d", d.subnet, 60+i, workerPort), "naplo", w.machine, i, workerCPU, workerMemory, true)
		if err != nil {
			return err
		}
		d.cloud.show(next)
		d.record.note("platform: worker %s has crashed; its machine comes back with worker %s at %s", w.id, next.id, next.address)
	}
	time.Sleep(life)
	for i, w := range late {
		if !trouble {
			break
		}
		a := exchange(http.MethodPost, fmt.Sprintf("http://%s:%d/instances/%s/heartbeat", d.controls[i%len(d.controls)].ip, controlPort, w.id), "", nil, reports[i], time.Second)
		d.record.note("the late status report of worker %s arrives -> %d", w.id, a.status)
	}
	return nil
}

// leader returns the control process that has begun to schedule last.
func (d *deployment) leader() *process {
	var newest time.Time
	found := d.controls[0]
	for _, p := range d.controls {
		content, err := os.ReadFile(filepath.Join(d.dir, p.name+".log"))
		if err != nil {
			continue
		}
		for line := range bytes.Lines(content) {
			var entry struct {
				Time time.Time `json:"time"`
				Msg  string    `json:"msg"`
			}
			if json.Unmarshal(line, &entry) == nil && entry.Msg == "scheduling loop started" && entry.Time.After(newest) {
				newest, found = entry.Time, p
			}
		}
	}
	return found
}

// startsAfterDone counts the starts of tasks of which a run has ended done before, where
// that end was taken note of.
func (d *deployment) startsAfterDone() int {
	d.runsMu.Lock()
	defer d.runsMu.Unlock()
	count := 0
	for task, starts := range d.starts {
		done, known := d.notedDone[task]
		for _, at := range starts {
			if known && at.After(done) && strings.HasPrefix(task, "00000000000000e") {
				d.record.note("task %s was started %d ms after its end done", task, at.Sub(done).Milliseconds())
				count++
			}
		}
	}
	return count
}
