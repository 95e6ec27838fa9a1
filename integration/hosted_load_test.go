package integration

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// fleetHeartbeat is the interval of a worker's heartbeats.
const fleetHeartbeat = 1500 * time.Millisecond

// fleetLoad is a fleet and the load that its callers make.
type fleetLoad struct {
	controls, entries, workers int
	jobsPerSecond, tasksPerJob int
	readsPerJob                int
	taskTime                   time.Duration
}

// runsPerSecond returns how many runs start each second.
func (f *fleetLoad) runsPerSecond() int { return f.jobsPerSecond * f.tasksPerJob }

// largeFleet has the mean load of the queues of 349 workers.
var largeFleet = fleetLoad{controls: 8, entries: 4, workers: 349, jobsPerSecond: 125, tasksPerJob: 8, readsPerJob: 2, taskTime: 800 * time.Millisecond}

// veryLargeFleet has the load of 1,100 workers while a queue of short tasks has its
// turn.
var veryLargeFleet = fleetLoad{controls: 6, entries: 147, workers: 1100, jobsPerSecond: 330, tasksPerJob: 13, readsPerJob: 2, taskTime: 640 * time.Millisecond}

// TestHostedLeaderAffordsTheRunsOfALargeFleet guards against a leader that needs more processor time than a control VM has, so that runs start late.
func TestHostedLeaderAffordsTheRunsOfALargeFleet(t *testing.T) {
	const controlShareOfCore = 0.512
	largeFleet.checkLeaderShare(t, controlShareOfCore)
}

// TestHostedLeaderAffordsATurnOfShortTasks guards against a leader whose core is full in a turn of short tasks, so that all of them are late.
func TestHostedLeaderAffordsATurnOfShortTasks(t *testing.T) {
	const idleShare, processorPerRun = 0.05, 80 * time.Microsecond
	veryLargeFleet.checkLeaderShare(t, idleShare+processorPerRun.Seconds()*float64(veryLargeFleet.runsPerSecond()))
}

// checkLeaderShare plays the load and checks that the leader accepts the jobs and
// uses at most the given share of a core.
func (f fleetLoad) checkLeaderShare(t *testing.T, allowed float64) {
	t.Helper()
	h := newHosted(t, f.controls, f.entries, oneCore, profiles)
	h.configure()
	for i := range f.workers {
		startHostedWorkerEvery(t, fleetHeartbeat, h.ledger, fmt.Sprint("w", i), "svc", freePort(t), "", 8000, h.controlAddresses())
	}
	h.submit(jobID(1), 8, 100*time.Millisecond)
	h.awaitState(jobID(1), "succeeded", 20*time.Second)
	h.awaitMembers(f.controls)

	const window = 8 * time.Second
	leader := h.controls[h.leader()]
	h.profileLeader(window)
	started := time.Now()
	before := processorTime(t, leader)
	accepted := h.playJobs(f, window)
	used := processorTime(t, leader) - before
	took := time.Since(started)

	share := used.Seconds() / took.Seconds()
	t.Logf("%d jobs accepted in %s; the leader used %.3f of a core, %.3f ms a run", accepted, took.Round(time.Millisecond), share, 1000*used.Seconds()/float64(accepted*f.tasksPerJob))
	t.Log(strings.Join(append(linesWith(t, leader, `"msg":"leader load"`), linesWith(t, leader, "format of commands")...), "\n"))
	h.logSlowCommits()
	if wanted := int(window.Seconds()) * f.jobsPerSecond * 9 / 10; accepted < wanted {
		t.Errorf("%d jobs accepted, wanted %d", accepted, wanted)
	}
	if share > allowed {
		t.Errorf("the leader used %.3f of a core, allowed are %.3f", share, allowed)
	}
}

// profileDir is the folder to which the load tests write the leader's profiles.
var profileDir = flag.String("load.profiles", "", "write a profile of the leader's processor time in each load test to this folder")

// profiles makes the control processes serve profiles.
func profiles(h *hosted) { h.controlArgs = append(h.controlArgs, "--profiles") }

// profileLeader writes a profile of the leader's processor time from now on, if one
// is asked for.
func (h *hosted) profileLeader(window time.Duration) {
	h.t.Helper()
	if *profileDir == "" {
		return
	}
	address := fmt.Sprintf("http://%s:%d/debug/pprof/profile?seconds=%d", h.controlIP(h.leader()), hostedFirstPort+1, int(window.Seconds()))
	done := make(chan struct{})
	go func() {
		defer close(done)
		response, err := http.Get(address)
		if err != nil {
			h.t.Errorf("no profile: %v", err)
			return
		}
		defer response.Body.Close()
		profile, err := io.ReadAll(response.Body)
		if err == nil {
			err = os.WriteFile(filepath.Join(*profileDir, h.t.Name()+".pb.gz"), profile, 0o600)
		}
		if err != nil {
			h.t.Errorf("profile not written: %v", err)
		}
	}()
	h.t.Cleanup(func() { <-done })
}

// playJobs submits jobs at a constant rate, reads the state of each a few times,
// and returns how many were accepted.
func (h *hosted) playJobs(f fleetLoad, window time.Duration) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"mem_mb":1,"estimate_ms":%d}]}`, f.taskTime, f.tasksPerJob, f.taskTime.Milliseconds())
	ticker := time.NewTicker(time.Second / time.Duration(f.jobsPerSecond))
	defer ticker.Stop()
	for n := range int(window.Seconds()) * f.jobsPerSecond {
		<-ticker.C
		wait.Add(1)
		go func() {
			defer wait.Done()
			entry := n % f.entries
			status, _ := h.request(entry, http.MethodPost, "/q/"+jobID(1000+n), body)
			if status == http.StatusOK {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
			for range f.readsPerJob {
				time.Sleep(f.taskTime)
				h.state(entry, jobID(1000+n))
			}
		}()
	}
	wait.Wait()
	return accepted
}

// logSlowCommits logs what the control processes told about slow commits.
func (h *hosted) logSlowCommits() {
	for _, p := range h.controls {
		for _, message := range []string{"commit slow", "log sync slow", "snapshot save slow", "replica loop late"} {
			for _, line := range linesWith(h.t, p, fmt.Sprintf(`"msg":%q`, message)) {
				h.t.Log(line)
			}
		}
	}
}

// linesWith returns the lines of a process's log that hold a text.
func linesWith(t *testing.T, p *process, text string) []string {
	t.Helper()
	content, err := os.ReadFile(p.logPath)
	must(t, err)
	var lines []string
	for line := range strings.Lines(string(content)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// awaitMembers waits until that many control processes have joined the log.
func (h *hosted) awaitMembers(count int) {
	h.t.Helper()
	eventually(h.t, 20*time.Second, "all control processes are members", func() error {
		added := 3
		for _, p := range h.controls {
			content, err := os.ReadFile(p.logPath)
			if err != nil {
				return err
			}
			added += strings.Count(string(content), `"msg":"member added"`)
		}
		if added < count {
			return fmt.Errorf("%d of %d", added, count)
		}
		return nil
	})
}

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

// processorTime returns the processor time that a process has used.
func processorTime(t *testing.T, p *process) time.Duration {
	t.Helper()
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	must(t, err)
	// The fields after the program's name, which stands in parentheses, start
	// with the third; user and system time are the 14th and 15th.
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	ticks := int64(0)
	for _, field := range fields[11:13] {
		n, err := strconv.ParseInt(field, 10, 64)
		must(t, err)
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}
