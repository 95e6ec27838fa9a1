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

// newWaveDeployment starts one entry in each zone, and two in za.
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

// run returns the newest run of wave "kernel".
func (d *deployment) run() control.RunReport {
	d.t.Helper()
	var report control.WaveReport
	d.call(http.MethodGet, "/v1/waves/kernel", nil, &report)
	if len(report.Runs) == 0 {
		return control.RunReport{}
	}
	return report.Runs[0]
}

func (d *deployment) waitRun(limit time.Duration, what string, check func(control.RunReport) bool) control.RunReport {
	d.t.Helper()
	var run control.RunReport
	eventually(d.t, limit, what, func() error {
		run = d.run()
		if !check(run) {
			return fmt.Errorf("counts %v, blocked %v", run.Count, run.Blocked)
		}
		return nil
	})
	return run
}

func ended(run control.RunReport) bool { return run.Status == plan.Ended }

func rebooting(run control.RunReport) bool { return run.Count[plan.Rebooting] > 0 }

// checkEachRebootedOnce fails unless every VM was rebooted exactly once.
func (d *deployment) checkEachRebootedOnce() {
	d.t.Helper()
	for name := range d.run().VMs {
		if boots := d.platform.Info(name).Boots; boots != 2 {
			d.t.Errorf("VM %s has started %d times, expected its first start and one reboot", name, boots)
		}
	}
}

// watchPromise checks until it is stopped that by ownership each pool serves
// the 16 slots that smallFleet promises, so at least two VMs.
func (d *deployment) watchPromise() (stop func()) {
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
				d.t.Errorf("serving VMs %v, promised are 2 in each pool", serving)
			}
		}
	})
	return func() { close(quit); done.Wait() }
}

// TestControlKilledMidWaveEndsItWithoutASecondReboot kills the leader while
// VMs reboot, twice. It fails if progress or orders are not replicated.
func TestControlKilledMidWaveEndsItWithoutASecondReboot(t *testing.T) {
	t.Parallel()
	d := newWaveDeployment(t, "za", "zb", "zb")
	stop := d.watchPromise()
	d.call(http.MethodPost, "/v1/waves/kernel/start", nil, nil)
	for range 2 {
		d.waitRun(waveLimit, "a VM reboots", rebooting)
		leader := d.waitLeader()
		d.controls[leader].kill()
		d.waitLeader()
		d.controls[leader].start()
	}
	d.waitRun(waveLimit, "the wave ends", ended)
	stop()
	d.checkEachRebootedOnce()
}

// TestFrozenEntryBlocksItsZonesDrainsAndNoOthers stops an entry of za by
// SIGSTOP. It fails if silence counts as a confirmation.
func TestFrozenEntryBlocksItsZonesDrainsAndNoOthers(t *testing.T) {
	t.Parallel()
	d := newWaveDeployment(t, "za")
	frozen := d.entries["entry-a2"]
	frozen.signal(syscall.SIGSTOP)
	d.call(http.MethodPost, "/v1/waves/kernel/start", nil, nil)
	time.Sleep(10 * time.Second)
	run := d.run()
	for name, progress := range run.VMs {
		if strings.Contains(name, "-a-") && progress.State != plan.Pending && progress.State != plan.Draining {
			t.Errorf("VM %s is %s though an entry of its zone is frozen", name, progress.State)
		}
	}
	if !strings.Contains(fmt.Sprint(run.Blocked), "entry-a2") {
		t.Errorf("the reasons do not name entry-a2: %v", run.Blocked)
	}
	frozen.signal(syscall.SIGCONT)
	d.waitRun(waveLimit, "the wave ends", ended)
	d.checkEachRebootedOnce()
}

// TestUnplannedLossHaltsTheWave fails two of four VMs of a pool that
// promises two and tolerates one. It fails if lost VMs count as capacity.
func TestUnplannedLossHaltsTheWave(t *testing.T) {
	t.Parallel()
	d := newWaveDeployment(t, "za")
	d.platform.Fail("booking-b-1")
	d.platform.Fail("booking-b-2")
	time.Sleep(4 * time.Second)
	d.call(http.MethodPost, "/v1/waves/kernel/start", nil, nil)
	for deadline := time.Now().Add(16 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for name, progress := range d.run().VMs {
			if strings.HasPrefix(name, "booking-") && progress.State != plan.Pending {
				t.Fatalf("VM %s is %s while its pool has no VM to spare", name, progress.State)
			}
		}
	}
	if run := d.run(); !strings.Contains(fmt.Sprint(run.Blocked), "loss") {
		t.Errorf("the reasons do not name the loss: %v", run.Blocked)
	}
	d.platform.Repair("booking-b-1")
	d.platform.Repair("booking-b-2")
	d.waitRun(2*waveLimit, "the wave ends", ended)
}

// TestNoRequestIsCutDuringAWaveUnderLoad sends requests through all entries
// during a whole wave. It fails if a VM reboots with requests in flight.
func TestNoRequestIsCutDuringAWaveUnderLoad(t *testing.T) {
	t.Parallel()
	d := newWaveDeployment(t, "za")
	load := d.startLoad()
	d.call(http.MethodPost, "/v1/waves/kernel/start", nil, nil)
	d.waitRun(waveLimit, "the wave ends", ended)
	load.stop()
	d.checkEachRebootedOnce()
}

// TestWaveStopsTasksBeforeAReboot runs long jobs on the VMs of a wave that
// are slow to make way. No job may be lost with its VM.
func TestWaveStopsTasksBeforeAReboot(t *testing.T) {
	t.Parallel()
	d := newWaveDeployment(t, "za")
	d.submit(spec("archive-1", "archive", 2, "run=600000 nocheckpoint=1"), spec("archive-2", "archive", 2, "run=600000 nocheckpoint=1"))
	d.waitJob("archive-1", jobplan.Running, 10*time.Second)
	d.call(http.MethodPost, "/v1/waves/kernel/start", nil, nil)
	d.waitRun(waveLimit, "the wave ends", ended)
	d.checkEachRebootedOnce()
	preempted := 0
	for _, id := range []string{"archive-1", "archive-2"} {
		job := d.job(id)
		preempted += job.Preempted
		if job.Lost > 0 {
			t.Errorf("job %s was lost %d times", id, job.Lost)
		}
	}
	if preempted == 0 {
		t.Error("no task had to make way for the wave")
	}
}

// load is requests that are sent until it is stopped.
type load struct {
	t                    *testing.T
	quit                 chan struct{}
	done                 sync.WaitGroup
	served, refused, cut atomic.Int64
}

// startLoad sends requests of 300 ms through every entry. They are not
// idempotent, so that no retry hides one that was cut.
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

// send repeats a request. A refusal that says "not-run" is counted apart
// from whatever else is not a whole answer.
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
		// The status and the outcome tell all that is counted.
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
		l.t.Errorf("%d requests were cut, %d served", l.cut.Load(), l.served.Load())
	}
}
