package integration

import (
	"net/http"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/version/plan"
)

// noVMOut reports whether no VM is draining, rebooting or settling.
func noVMOut(run control.RunReport) bool {
	return run.Count[plan.Draining]+run.Count[plan.Rebooting]+run.Count[plan.Settling] == 0
}

// TestOperatorPausesResumesAndAbortsAWave pauses, resumes and aborts a wave. The
// test fails if a paused run starts with another VM, or if an aborted run leaves a
// VM out of service.
func TestOperatorPausesResumesAndAbortsAWave(t *testing.T) {
	t.Parallel()
	d := newWaveDeployment(t, "za")
	d.ctl(keys.Viewer, "wave", "start", "kernel").expect(t, 5, "forbidden")
	d.ctl(keys.Operator, "wave", "start", "none").expect(t, 5, "not declared")
	d.ctl(keys.Operator, "wave", "start", "kernel").expect(t, 0, "run kernel-", "running")
	d.waitRun(waveLimit, "a VM reboots", hasRebootingVM)
	d.ctl(keys.Operator, "wave", "pause", "kernel").expect(t, 0, "paused")
	run := d.waitRun(waveLimit, "no VM is out of service", noVMOut)
	done := run.Count[plan.Done]
	time.Sleep(3 * time.Second)
	if run := d.latestRun(); run.Count[plan.Done] != done || !noVMOut(run) {
		t.Errorf("a paused run went on: counts %v, %d VMs were done before", run.Count, done)
	}
	d.ctl(keys.Viewer, "wave", "status", "kernel").expect(t, 0, "the run is paused")
	d.ctl(keys.Operator, "wave", "resume", "kernel").expect(t, 0, "running")
	d.waitRun(waveLimit, "a VM reboots", hasRebootingVM)
	d.ctl(keys.Operator, "wave", "abort", "kernel").expect(t, 0, "aborted")
	d.waitRun(waveLimit, "no VM is out of service", noVMOut)
	var report control.WaveReport
	d.call(http.MethodGet, "/v1/waves", nil, &report)
	if len(report.Runs) != 1 || report.Runs[0].Status != plan.Aborted {
		t.Errorf("runs %+v", report.Runs)
	}
	d.ctl(keys.Operator, "wave", "resume", "kernel").expect(t, 5, "no open run")
}
