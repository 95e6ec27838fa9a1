package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// plays are the cases by name.
var plays = map[string]play{
	"log":    playLog,
	"wide":   playWide,
	"memory": playMemory,
	"cancel": playCancel,
	"gang":   playGang,
	"late":   playLate,
}

// Size of a worker and of its pool, as in a small deployment.
const (
	workerCPU    = 64_000
	workerMemory = 262_144
	poolSize     = 8
)

// Bounds of the pages.
const (
	finish   = 14 * time.Second
	idleTime = 3 * time.Second
	recovery = 12 * time.Second
	// ownEndsOfFault is how often processes end by themselves on half of the core
	// before the day counts 0.
	ownEndsOfFault = 3
)

// ordinaryJob returns an ordinary job of some tasks of 3.5 cores that work for 0.8 s each.
func ordinaryJob(tasks int) string { return job(tasks, 3500, 10_000, 800) }

// job returns a job of one step.
func job(tasks int, cpu, memory, ms int64) string {
	return fmt.Sprintf(`{"spec":"{\"ms\":%d,\"cpu\":%d,\"mem\":%d}","steps":[{"count":%d,"cpu":%d,"mem_mb":%d,"estimate_ms":%d}]}`, ms, cpu, memory, tasks, cpu, memory, ms)
}

// startSmall starts a deployment of three control processes and some entries with two
// pools, and waits until it has served a job.
func startSmall(d *deployment, entries int) error { return startPools(d, entries, poolSize) }

// startPools is startSmall with pools of a size.
func startPools(d *deployment, entries, size int) error {
	const controls = 3
	if err := d.start(controls, entries); err != nil {
		return err
	}
	if err := d.configure(route("photo-tag", "/kepek/", "kepek")+","+route("log-check", "/naplo/", "naplo"), service("kepek")+","+service("naplo")); err != nil {
		return err
	}
	for _, pool := range []string{"kepek", "naplo"} {
		if err := d.cloud.addMachines(pool, size, workerCPU, workerMemory); err != nil {
			return err
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	const warmUp = 6 * time.Second
	time.Sleep(warmUp)
	const first = "/kepek/00000000000000a1"
	if !d.submit(first, ordinaryJob(6)) {
		return fmt.Errorf("an ordinary job is not accepted in calm")
	}
	if state := d.awaitState(first, "succeeded", 20*time.Second); state != "succeeded" {
		return fmt.Errorf("an ordinary job is %q after 20 s in calm", state)
	}
	return nil
}

// Figures of playLog.
const (
	keptJobs       = 900
	cancellations  = 700_000
	enough         = 560_000
	longestFlood   = 75 * time.Second
	flooding       = 240
	longPayload    = 3990
	dueInMS        = 3_600_000
	firstKeptJobID = 0x1000
)

// playLog lets clients hand jobs in that are due later, and others send DELETE requests
// that name no job. Then all control processes are killed at the same moment and started
// again.
func playLog(d *deployment, trouble bool) (bool, error) {
	if err := startSmall(d, 3); err != nil {
		return false, err
	}
	first := fmt.Sprintf("/kepek/%016x", firstKeptJobID)
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":800}],"repeat_count":1,"start_at_ms":%d,"interval_ms":1000}`,
		strings.Repeat("x", longPayload), time.Now().UnixMilli()+dueInMS)
	var next, kept atomic.Int64
	inParallel(12, func(int) {
		for i := int(next.Add(1)); i <= keptJobs; i = int(next.Add(1)) {
			if d.send(i, http.MethodPost, fmt.Sprintf("/kepek/%016x", firstKeptJobID+i-1), body).status == http.StatusOK {
				kept.Add(1)
			}
		}
	})
	d.record.note("clients: %d jobs with a spec of %d bytes, due in an hour, %d accepted", keptJobs, longPayload, kept.Load())
	if state := d.state(first); state != "queued" {
		return false, fmt.Errorf("the first job is %q", state)
	}
	answered := d.flood("DELETE / HTTP/1.1\r\nHost: a\r\n\r\n", flooding, cancellations, longestFlood)
	d.record.note("clients: DELETE / with the host a, %d answered with 410", answered)
	if answered < enough {
		return false, fmt.Errorf("the machine is too slow for %d requests in %s", enough, longestFlood)
	}
	if trouble {
		d.record.note("platform: kills all control processes and starts them again")
		for _, p := range d.controls {
			p.kill()
		}
		for _, p := range d.controls {
			if err := p.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(recovery)
	version := d.readConfiguration()
	state := d.state(first)
	d.noteProcesses()
	d.record.note("%s later: configuration %d is read and %d was acknowledged; the accepted job is %q", recovery, version, d.version, state)
	return version < d.version || state != "queued", nil
}

// wideJob is the path of a job of many small tasks. Others differ in the last digit.
const wideJob = "/naplo/00000000000000b1"

// wideJobID is what the ids of such jobs begin with.
const wideJobID = "00000000000000b"

// playWide submits one job of one step with many small tasks, among ordinary jobs of
// other clients.
func playWide(d *deployment, trouble bool) (bool, error) {
	return d.playWideJobs(trouble, 1, 45_000, 10*time.Second, false)
}

// playMemory is playWide with three jobs of fewer tasks each. The platform kills a process
// that uses more than its memory, and starts it again.
func playMemory(d *deployment, trouble bool) (bool, error) {
	return d.playWideJobs(trouble, 3, 40_000, 25*time.Second, true)
}

// calmTasks is the width of the wide job without the disruption.
const calmTasks = 1000

// playWideJobs submits jobs of one step with many small tasks, and ordinary jobs for some
// time. The rule is broken if an ordinary job is lost, or if processes of half of the core
// end by themselves too often.
func (d *deployment) playWideJobs(trouble bool, jobs, tasks int, traffic time.Duration, memory bool) (bool, error) {
	if err := startSmall(d, 2); err != nil {
		return false, err
	}
	if !trouble {
		tasks = calmTasks
	}
	d.silent.Store(wideJobID)
	if memory {
		d.limitMemory()
	}
	for i := range jobs {
		path := fmt.Sprintf("/naplo/%s%d", wideJobID, i+1)
		if !d.submit(path, job(tasks, 1, 1, 800)) && i == 0 {
			return false, fmt.Errorf("the wide job is not accepted")
		}
	}
	var accepted []string
	begin := time.Now()
	for i := 0; time.Since(begin) < traffic; i++ {
		path := fmt.Sprintf("/kepek/000000000000%04x", 0xc000+i)
		if d.submit(path, ordinaryJob(2)) {
			accepted = append(accepted, path)
		}
		time.Sleep(500 * time.Millisecond)
	}
	d.record.note("end of the traffic: %d ordinary jobs accepted after the wide one", len(accepted))
	time.Sleep(finish)
	lost := 0
	for _, path := range accepted[:min(len(accepted), 3)] {
		if d.isLost(path) {
			lost++
		}
	}
	d.noteProcesses()
	faulty := 0
	for _, p := range d.controls {
		if p.ends() >= ownEndsOfFault {
			faulty++
		}
	}
	d.record.note("%d accepted jobs lost; %d of %d control processes have ended %d times or more", lost, faulty, len(d.controls), ownEndsOfFault)
	return lost > 0 || 2*faulty >= len(d.controls), nil
}

// isLost asks for an accepted job like a client. It reports whether there is no answer,
// or whether the job has not ended and nothing of it is running for idleTime.
func (d *deployment) isLost(path string) bool {
	const retries = 4
	state := ""
	for i := 0; i <= retries && state == ""; i++ {
		state = d.state(path)
	}
	if state == "succeeded" {
		return false
	}
	id := path[strings.LastIndexByte(path, '/')+1:]
	ran := false
	for end := time.Now().Add(idleTime); time.Now().Before(end) && state != "" && state != "gone"; time.Sleep(50 * time.Millisecond) {
		ran = ran || d.isRunning(id)
	}
	d.record.note("accepted job %s is %q, running %t", path, state, ran)
	return !ran
}

// isRunning reports whether a worker runs a task of a job.
func (d *deployment) isRunning(id string) bool {
	for _, w := range d.allWorkers() {
		if w.runs(id) {
			return true
		}
	}
	return false
}

// limitMemory kills each control process that uses more than its memory, and starts it
// again, as the platform does.
func (d *deployment) limitMemory() {
	for _, p := range d.controls {
		go func() {
			for {
				time.Sleep(20 * time.Millisecond)
				if used := p.memoryMB(); used > controlMemoryMB {
					d.record.note("platform: kills %s, which uses %d MB of %d MB", p.name, used, controlMemoryMB)
					p.killForMemory()
				}
			}
		}()
	}
}

// playCancel lets a client of one queue cancel a job that it has not submitted: the id
// is that of a job of another queue.
func playCancel(d *deployment, trouble bool) (bool, error) {
	if err := startSmall(d, 2); err != nil {
		return false, err
	}
	const id, unused = "00000000000000d1", "00000000000000d2"
	other := unused
	if trouble {
		other = id
	}
	if !d.submit("/kepek/"+id, job(6, 3500, 10_000, 4000)) {
		return false, fmt.Errorf("the job is not accepted")
	}
	if state := d.awaitState("/kepek/"+id, "running", 5*time.Second); state != "running" {
		return false, fmt.Errorf("the job is %q", state)
	}
	shown := d.request(0, http.MethodGet, "/naplo/"+other, "").status == http.StatusOK
	d.request(0, http.MethodDelete, "/naplo/"+other, "")
	state := d.awaitState("/kepek/"+id, "succeeded", 8*time.Second)
	d.record.note("nobody has submitted a job /naplo/%s; it was shown: %t", other, shown)
	d.record.note("nobody has cancelled the job /kepek/%s; it is %q", id, state)
	return shown || state != "succeeded", nil
}

// gangWorks is how long a gang works.
const gangWorks = 2 * time.Second

// playGang submits a job of one wide gang in calm.
func playGang(d *deployment, trouble bool) (bool, error) {
	if err := startSmall(d, 2); err != nil {
		return false, err
	}
	size := calmTasks
	if trouble {
		size = 25_000
	}
	d.silent.Store(wideJobID)
	body := fmt.Sprintf(`{"spec":"{\"ms\":%d,\"cpu\":1,\"mem\":1,\"gang\":%d}","steps":[{"count":%d,"cpu":1,"mem_mb":1,"estimate_ms":%d,"gang":true}]}`,
		gangWorks.Milliseconds(), size, size, gangWorks.Milliseconds())
	if !d.submit(wideJob, body) {
		return false, fmt.Errorf("the job of a gang is not accepted")
	}
	state := ""
	for range 40 {
		time.Sleep(time.Second)
		whole, alone := d.gangs.counts()
		d.record.note("gang of %d: %d runs had all members, %d members ended alone", size, whole, alone)
		if state = d.state(wideJob); state == "succeeded" {
			break
		}
	}
	d.noteProcesses()
	whole, alone := d.gangs.counts()
	d.record.note("the job of the gang is %q; %d runs had all members, %d members ended alone", state, whole, alone)
	return alone > 0 || state != "succeeded", nil
}
