package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/version/jobplan"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// waveLimit bounds a wave over the eight VMs of smallFleet.
const waveLimit = 90 * time.Second

// newWaveDeployment starts one control process in each zone given, two entries in
// zone za, one entry in zone zb and the VMs of smallFleet.
func newWaveDeployment(t *testing.T, controls ...string) *deployment {
	t.Helper()
	d := newDeployment(t)
	d.addControls(controls...)
	d.waitLeader()
	d.addEntry("entry-a1", "za")
	d.addEntry("entry-a2", "za")
	d.addEntry("entry-b1", "zb")
	d.addSmallTargets()
	d.apply(smallFleet)
	d.waitInForce(10 * time.Second)
	for _, entry := range d.entries {
		d.waitServed(entry.url() + "/booking/1")
		d.waitServed(entry.url() + "/office/1")
	}
	return d
}

// latestRun returns the newest run of wave "kernel", or the zero value if it has
// none.
func (d *deployment) latestRun() control.RunReport {
	d.t.Helper()
	var report control.WaveReport
	d.call(http.MethodGet, "/v1/waves/kernel", nil, &report)
	if len(report.Runs) == 0 {
		return control.RunReport{}
	}
	return report.Runs[0]
}

// waitRun waits until the newest run of wave "kernel" passes the check and returns
// it.
func (d *deployment) waitRun(limit time.Duration, what string, check func(control.RunReport) bool) control.RunReport {
	d.t.Helper()
	var run control.RunReport
	eventually(d.t, limit, what, func() error {
		run = d.latestRun()
		if !check(run) {
			return fmt.Errorf("counts %v, blocked %v", run.Count, run.Blocked)
		}
		return nil
	})
	return run
}

// hasEnded reports whether the run has ended.
func hasEnded(run control.RunReport) bool { return run.Status == plan.Ended }

// hasRebootingVM reports whether a VM of the run is rebooting.
func hasRebootingVM(run control.RunReport) bool { return run.Count[plan.Rebooting] > 0 }

// checkEachRebootedOnce fails the test unless every VM was rebooted exactly once.
func (d *deployment) checkEachRebootedOnce() {
	d.t.Helper()
	for name := range d.latestRun().VMs {
		if boots := d.platform.Info(name).Boots; boots != 2 {
			d.t.Errorf("VM %s has started %d times, expected its first start and one reboot", name, boots)
		}
	}
}

// watchPromisedSlots fails the test if a pool has fewer than two VMs in phase
// Serving, which provide the 16 slots that smallFleet promises. It checks until the
// returned function is called.
func (d *deployment) watchPromisedSlots() (stop func()) {
	quit := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		for {
			select {
			case <-quit:
				return
			case <-time.After(50 * time.Millisecond):
			}
			status, err := d.status()
			if err != nil {
				continue
			}
			serving := map[string]int{}
			for _, vm := range status.VMs {
				if vm.Phase == view.Serving {
					serving[vm.Pool]++
				}
			}
			if serving["booking"] < 2 || serving["office"] < 2 {
				d.t.Errorf("VMs in service by pool: %v, expected at least 2 in each pool", serving)
			}
		}
	})
	return func() { close(quit); done.Wait() }
}

// TestControlKilledMidWaveEndsItWithoutASecondReboot kills the leader twice while
// VMs reboot. The test fails if the progress of the wave or its reboot orders are
// not replicated.
func TestControlKilledMidWaveEndsItWithoutASecondReboot(t *testing.T) {
	t.Parallel()
	d := newWaveDeployment(t, "za", "zb", "zb")
	stop := d.watchPromisedSlots()
	d.call(http.MethodPost, "/v1/waves/kernel/start", nil, nil)
	for range 2 {
		d.waitRun(waveLimit, "a VM reboots", hasRebootingVM)
		leader := d.waitLeader()
		d.controls[leader].kill()
		d.waitLeader()
		d.controls[leader].start()
	}
	d.waitRun(waveLimit, "the wave ends", hasEnded)
	stop()
	d.checkEachRebootedOnce()
}

// TestFrozenEntryBlocksItsZonesDrainsAndNoOthers suspends an entry of zone za. The
// test fails if an entry that does not answer counts as confirming a drain.
func TestFrozenEntryBlocksItsZonesDrainsAndNoOthers(t *testing.T) {
	t.Parallel()
	d := newWaveDeployment(t, "za")
	frozen := d.entries["entry-a2"]
	frozen.signal(syscall.SIGSTOP)
	d.call(http.MethodPost, "/v1/waves/kernel/start", nil, nil)
	time.Sleep(10 * time.Second)
	run := d.latestRun()
	for name, progress := range run.VMs {
		if strings.Contains(name, "-a-") && progress.State != plan.Pending && progress.State != plan.Draining {
			t.Errorf("VM %s is %s although an entry of its zone is frozen", name, progress.State)
		}
	}
	if !strings.Contains(fmt.Sprint(run.Blocked), "entry-a2") {
		t.Errorf("the reasons do not name entry-a2: %v", run.Blocked)
	}
	frozen.signal(syscall.SIGCONT)
	d.waitRun(waveLimit, "the wave ends", hasEnded)
	d.checkEachRebootedOnce()
}

// TestUnplannedLossHaltsTheWave fails two of the four VMs of a pool that promises
// the slots of two and tolerates the loss of one. The test fails if lost VMs count
// as capacity.
func TestUnplannedLossHaltsTheWave(t *testing.T) {
	t.Parallel()
	d := newWaveDeployment(t, "za")
	d.platform.Fail("booking-b-1")
	d.platform.Fail("booking-b-2")
	time.Sleep(4 * time.Second)
	d.call(http.MethodPost, "/v1/waves/kernel/start", nil, nil)
	for deadline := time.Now().Add(16 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for name, progress := range d.latestRun().VMs {
			if strings.HasPrefix(name, "booking-") && progress.State != plan.Pending {
				t.Fatalf("VM %s is %s while its pool has no VM to spare", name, progress.State)
			}
		}
	}
	if run := d.latestRun(); !strings.Contains(fmt.Sprint(run.Blocked), "loss") {
		t.Errorf("the reasons do not name the loss: %v", run.Blocked)
	}
	d.platform.Repair("booking-b-1")
	d.platform.Repair("booking-b-2")
	d.waitRun(2*waveLimit, "the wave ends", hasEnded)
}

// TestNoRequestIsCutDuringAWaveUnderLoad sends requests through all entries during a
// whole wave. The test fails if a VM reboots with requests in flight.
func TestNoRequestIsCutDuringAWaveUnderLoad(t *testing.T) {
	t.Parallel()
	d := newWaveDeployment(t, "za")
	load := d.startLoad()
	d.call(http.MethodPost, "/v1/waves/kernel/start", nil, nil)
	d.waitRun(waveLimit, "the wave ends", hasEnded)
	load.stop()
	d.checkEachRebootedOnce()
}

// TestWaveStopsTasksBeforeAReboot runs long jobs that do not checkpoint on the VMs
// of a wave. They must be preempted before the reboot, and none may be lost with
// its VM.
func TestWaveStopsTasksBeforeAReboot(t *testing.T) {
	t.Parallel()
	d := newWaveDeployment(t, "za")
	d.submit(jobSpec("archive-1", "archive", 2, "run=600000 nocheckpoint=1"), jobSpec("archive-2", "archive", 2, "run=600000 nocheckpoint=1"))
	d.waitJob("archive-1", jobplan.Running, 10*time.Second)
	d.call(http.MethodPost, "/v1/waves/kernel/start", nil, nil)
	d.waitRun(waveLimit, "the wave ends", hasEnded)
	d.checkEachRebootedOnce()
	preempted := 0
	for _, id := range []string{"archive-1", "archive-2"} {
		job := d.job(id)
		preempted += job.Preempted
		if job.Lost > 0 {
			t.Errorf("job %s was lost with its VM %d times", id, job.Lost)
		}
	}
	if preempted == 0 {
		t.Error("no task was preempted for the wave")
	}
}

// load sends requests until it is stopped, and counts their outcomes.
type load struct {
	t                    *testing.T
	quit                 chan struct{}
	done                 sync.WaitGroup
	served, refused, cut atomic.Int64
}

// startLoad sends requests of 300 ms through every entry. They are not idempotent,
// so that no retry hides a request that was cut.
func (d *deployment) startLoad() *load {
	l := &load{t: d.t, quit: make(chan struct{})}
	for _, entry := range d.entries {
		for _, service := range []string{"booking", "office"} {
			for range 3 {
				l.done.Go(func() { l.send(entry.url() + "/" + service + "/load?sleep_ms=300") })
			}
		}
	}
	return l
}

// send repeats a request until the load is stopped. It counts refusals with outcome
// "not-run" separately from cut requests and other outcomes.
func (l *load) send(url string) {
	for {
		select {
		case <-l.quit:
			return
		default:
		}
		resp, err := http.Post(url, "text/plain", strings.NewReader("a booking"))
		if err != nil {
			l.cut.Add(1)
			continue
		}
		// The body is not needed: the count depends on the status and the outcome.
		_ = resp.Body.Close()
		switch outcome := resp.Header.Get("X-Arbutus-Outcome"); {
		case resp.StatusCode == http.StatusOK && outcome == "ran":
			l.served.Add(1)
		case outcome == "not-run":
			l.refused.Add(1)
			time.Sleep(100 * time.Millisecond)
		default:
			l.cut.Add(1)
		}
	}
}

// stop ends the load and fails the test if a request was cut.
func (l *load) stop() {
	l.t.Helper()
	close(l.quit)
	l.done.Wait()
	l.t.Logf("served %d, refused as not run %d, cut or unknown %d", l.served.Load(), l.refused.Load(), l.cut.Load())
	if l.cut.Load() > 0 || l.served.Load() == 0 {
		l.t.Errorf("%d requests were cut or unknown, %d were served", l.cut.Load(), l.served.Load())
	}
}
