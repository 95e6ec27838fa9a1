package integration

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The load of a large fleet: its size, the mean load of its queues and the
// processor that a control VM has.
const (
	fleetControls      = 8
	fleetEntries       = 4
	fleetWorkers       = 349
	fleetJobsPerSecond = 125
	fleetTasksPerJob   = 8
	fleetReadsPerJob   = 2
	fleetTaskTime      = 800 * time.Millisecond
	fleetHeartbeat     = 1500 * time.Millisecond
	controlShareOfCore = 0.512
)

// TestHostedLeaderAffordsTheRunsOfALargeFleet guards against a leader that needs more processor time than a control VM has, so that runs start late.
func TestHostedLeaderAffordsTheRunsOfALargeFleet(t *testing.T) {
	h := newHosted(t, fleetControls, fleetEntries, oneCore)
	h.configure()
	for i := range fleetWorkers {
		startHostedWorkerEvery(t, fleetHeartbeat, h.ledger, fmt.Sprint("w", i), "svc", freePort(t), "", 8000, h.controlAddresses())
	}
	h.submit(jobID(1), 8, 100*time.Millisecond)
	h.awaitState(jobID(1), "succeeded", 20*time.Second)
	h.awaitMembers(fleetControls)

	const window = 8 * time.Second
	leader := h.controls[h.leader()]
	started := time.Now()
	before := processorTime(t, leader)
	accepted := h.playJobs(window)
	used := processorTime(t, leader) - before
	took := time.Since(started)

	share := used.Seconds() / took.Seconds()
	t.Logf("%d jobs accepted in %s; the leader used %.3f of a core, %.3f ms a run", accepted, took.Round(time.Millisecond), share, 1000*used.Seconds()/float64(accepted*fleetTasksPerJob))
	t.Log(strings.Join(linesWith(t, leader, `"msg":"leader load"`), "\n"))
	h.logSlowCommits()
	if wanted := int(window.Seconds()) * fleetJobsPerSecond * 9 / 10; accepted < wanted {
		t.Errorf("%d jobs accepted, wanted %d", accepted, wanted)
	}
	if share > controlShareOfCore {
		t.Errorf("the leader used %.3f of a core, a control VM has %.3f", share, controlShareOfCore)
	}
}

// playJobs submits jobs at a constant rate, reads the state of each a few times,
// and returns how many were accepted.
func (h *hosted) playJobs(window time.Duration) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"mem_mb":1,"estimate_ms":%d}]}`, fleetTaskTime, fleetTasksPerJob, fleetTaskTime.Milliseconds())
	ticker := time.NewTicker(time.Second / fleetJobsPerSecond)
	defer ticker.Stop()
	for n := range int(window.Seconds()) * fleetJobsPerSecond {
		<-ticker.C
		wait.Add(1)
		go func() {
			defer wait.Done()
			entry := n % fleetEntries
			status, _ := h.request(entry, http.MethodPost, "/q/"+jobID(1000+n), body)
			if status == http.StatusOK {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
			for range fleetReadsPerJob {
				time.Sleep(fleetTaskTime)
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
