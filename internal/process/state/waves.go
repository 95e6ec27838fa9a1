package state

import (
	"fmt"

	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/plan/wave"
)

// maxClosedRuns is the number of wave runs kept before closed ones are
// removed.
const maxClosedRuns = 16

// WaveStart is the body of a StartWave command.
type WaveStart struct {
	Wave string `cbor:"1,keyasint"`
	By   string `cbor:"2,keyasint"`
}

// WaveControl is the body of a ControlWave command.
type WaveControl struct {
	Wave   string         `cbor:"1,keyasint"`
	Status plan.RunStatus `cbor:"2,keyasint"`
	By     string         `cbor:"3,keyasint"`
}

// WaveEnd is the body of an EndWave command.
type WaveEnd struct {
	Run string `cbor:"1,keyasint"`
}

// applyStartWave starts a run of a declared wave. If the wave has an open run
// already, that run is returned.
func applyStartWave(m *Machine, pos position, start WaveStart) Result {
	f := &m.data.Fleet
	if run, open := f.openRun(start.Wave); open {
		return okResult(run)
	}
	vms, declared := f.waveVMs(start.Wave)
	if !declared {
		return refuse(NotFound, "wave %q is not declared", start.Wave)
	}
	run := plan.WaveRun{ID: fmt.Sprintf("%s-%d", start.Wave, pos.index), Wave: start.Wave, Status: plan.Running,
		By: start.By, StartedMS: pos.atMS, Width: wave.InitialWidth, VMs: map[string]plan.Progress{}}
	for _, name := range vms {
		run.VMs[name] = plan.Progress{State: plan.Pending, SinceMS: pos.atMS}
	}
	f.setRun(pos.index, run)
	f.pruneRuns()
	return okResult(run)
}

// openRun returns the run of a wave that is running or paused.
func (f *Fleet) openRun(name string) (plan.WaveRun, bool) {
	for _, run := range f.Runs {
		if run.Wave == name && (run.Status == plan.Running || run.Status == plan.Paused) {
			return run, true
		}
	}
	return plan.WaveRun{}, false
}

// waveVMs returns the VMs in the pools of a wave, and false if the wave is not
// declared.
func (f *Fleet) waveVMs(name string) ([]string, bool) {
	if f.Document == nil {
		return nil, false
	}
	for _, declared := range f.Document.Waves {
		if declared.Name != name {
			continue
		}
		pools := map[string]bool{}
		for _, pool := range declared.Pools {
			pools[pool] = true
		}
		var vms []string
		for _, vm := range f.VMs {
			if pools[vm.Pool] {
				vms = append(vms, vm.Name)
			}
		}
		return vms, true
	}
	return nil, false
}

// setRun stores a run under a new revision.
func (f *Fleet) setRun(revision uint64, run plan.WaveRun) {
	f.Runs[run.ID] = run
	f.Revision = revision
}

// pruneRuns removes the oldest closed runs while there are more than
// maxClosedRuns runs.
func (f *Fleet) pruneRuns() {
	for len(f.Runs) > maxClosedRuns {
		oldest := ""
		for id, run := range f.Runs {
			if !run.Open() && (oldest == "" || run.StartedMS < f.Runs[oldest].StartedMS || run.StartedMS == f.Runs[oldest].StartedMS && id < oldest) {
				oldest = id
			}
		}
		if oldest == "" {
			return
		}
		delete(f.Runs, oldest)
	}
}

// applyControlWave pauses, resumes or aborts the open run of a wave.
func applyControlWave(m *Machine, pos position, control WaveControl) Result {
	f := &m.data.Fleet
	run, open := f.openRun(control.Wave)
	if !open {
		return refuse(NotFound, "wave %q has no open run", control.Wave)
	}
	switch control.Status {
	case plan.Running, plan.Paused:
		run.Status = control.Status
	case plan.Aborted:
		run.Status = control.Status
		run.EndedMS = pos.atMS
	default:
		return refuse(Malformed, "a run can't be set to %q", control.Status)
	}
	f.setRun(pos.index, run)
	return okResult(run)
}

// applyEndWave ends a run after all of its VMs are done or skipped.
func applyEndWave(m *Machine, pos position, end WaveEnd) Result {
	f := &m.data.Fleet
	run, known := f.Runs[end.Run]
	if !known || run.Status != plan.Running {
		return refuse(Conflict, "run %q is not running", end.Run)
	}
	for name, progress := range run.VMs {
		if progress.State != plan.Done && progress.State != plan.Skipped {
			return refuse(Conflict, "VM %q of run %q is %s", name, end.Run, progress.State)
		}
	}
	run.Status = plan.Ended
	run.EndedMS = pos.atMS
	f.setRun(pos.index, run)
	return okResult(run)
}

// applyRecordLosses records the number of unplanned losses in the pools of a
// run. If the number has risen, the width of the run is reduced and the run
// takes no further VM out of service for a while.
func applyRecordLosses(m *Machine, pos position, losses wave.Losses) Result {
	f := &m.data.Fleet
	run, known := f.Runs[losses.Run]
	if !known {
		return refuse(NotFound, "run %q is not known", losses.Run)
	}
	if losses.Count > run.Losses {
		narrow(&run, pos)
	}
	run.Losses = losses.Count
	f.setRun(pos.index, run)
	return okResult(run)
}
