package state

import (
	"fmt"
	"maps"

	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/plan/wave"
	"arbutusward.example/arbutusward/internal/version/view"
)

// narrow reduces the width of a run after a loss and holds the run.
func narrow(run *plan.WaveRun, pos position) {
	run.Width = wave.WidthAfterLoss
	run.Streak = 0
	run.HoldUntilMS = pos.atMS + wave.LossHoldTime.Milliseconds()
}

// allowedTransitions lists, for each state of a VM in a run, the states that
// may follow.
var allowedTransitions = map[plan.StepState][]plan.StepState{
	plan.Pending:   {plan.Draining, plan.Skipped},
	plan.Draining:  {plan.Rebooting, plan.Pending, plan.Skipped},
	plan.Rebooting: {plan.Settling, plan.Lost, plan.Skipped},
	plan.Settling:  {plan.Done, plan.Lost, plan.Skipped},
	plan.Lost:      {plan.Settling, plan.Skipped},
}

// phases maps the state of a VM in a run to the VM's phase.
var phases = map[plan.StepState]view.Phase{
	plan.Pending:   view.Serving,
	plan.Draining:  view.Draining,
	plan.Rebooting: view.Rebooting,
	plan.Settling:  view.Settling,
	plan.Lost:      view.Lost,
	plan.Done:      view.Serving,
}

// applyStepWave moves a VM of a run to its next state under a new epoch.
func applyStepWave(m *Machine, pos position, step plan.WaveStep) Result {
	f := &m.data.Fleet
	run, known := f.Runs[step.Run]
	if !known {
		return refuse(NotFound, "run %q is not known", step.Run)
	}
	progress, listed := run.VMs[step.VM]
	if !listed || !isAllowed(progress.State, step.To) {
		return refuse(Conflict, "VM %q is %q in run %s and can't become %s", step.VM, progress.State, run.ID, step.To)
	}
	if step.To == plan.Skipped {
		return f.skipVM(pos, run, step)
	}
	vm, result, ok := f.vmAtEpoch(step.VM, step.Epoch)
	if !ok {
		return result
	}
	if refusal, refused := f.checkWaveStep(&run, progress, vm, step.To); refused {
		return refusal
	}
	if step.To == plan.Rebooting {
		if refusal, refused := m.data.Jobs.checkIdle(vm.Name); refused {
			return refusal
		}
	}
	vm.Phase = phases[step.To]
	vm.Epoch++
	f.setVM(pos.index, vm)
	next := plan.Progress{State: step.To, Epoch: vm.Epoch, Order: progress.Order, SinceMS: pos.atMS}
	if step.To == plan.Rebooting {
		next.Order = fmt.Sprintf("%s/%s/%d", run.ID, vm.Name, vm.Epoch)
	}
	f.recordProgress(pos, run, step, next)
	return okResult(next)
}

func isAllowed(from, to plan.StepState) bool {
	for _, state := range allowedTransitions[from] {
		if state == to {
			return true
		}
	}
	return false
}

// skipVM marks a VM that is no longer in the fleet as skipped.
func (f *Fleet) skipVM(pos position, run plan.WaveRun, step plan.WaveStep) Result {
	if _, known := f.VMs[step.VM]; known {
		return refuse(Conflict, "VM %q is still in the fleet", step.VM)
	}
	next := plan.Progress{State: plan.Skipped, SinceMS: pos.atMS}
	f.recordProgress(pos, run, step, next)
	return okResult(next)
}

// checkWaveStep refuses a step that the current state does not allow.
func (f *Fleet) checkWaveStep(run *plan.WaveRun, progress plan.Progress, vm OwnedVM, to plan.StepState) (Result, bool) {
	if to == plan.Draining {
		if run.Status != plan.Running {
			return refuse(Refused, "run %s is %s", run.ID, run.Status), true
		}
		return f.checkOutOfService(vm)
	}
	if progress.Epoch != vm.Epoch || phases[progress.State] != vm.Phase {
		return refuse(Conflict, "VM %q has changed since the run's last step: it is %s at epoch %d", vm.Name, vm.Phase, vm.Epoch), true
	}
	return Result{}, false
}

// checkOutOfService refuses to take a VM out of service if the pool's other serving
// VMs have fewer slots than the pool promises. This check counts planned
// absences only, which the state machine knows for certain. The planner has
// also considered failures.
func (f *Fleet) checkOutOfService(vm OwnedVM) (Result, bool) {
	if vm.Phase != view.Serving {
		return refuse(Refused, "VM %q is %s, it has to serve to be drained", vm.Name, vm.Phase), true
	}
	promised := plan.Promised(f.Document)[vm.Pool]
	left := f.servingSlots(vm.Pool) - vm.Slots
	if promised > 0 && left < promised {
		return refuse(Refused, "pool %s promises %d slots and would keep %d", vm.Pool, promised, left), true
	}
	return Result{}, false
}

// servingSlots returns the slots of a pool's serving VMs.
func (f *Fleet) servingSlots(pool string) int {
	slots := 0
	for _, vm := range f.VMs {
		if vm.Pool == pool && vm.Phase == view.Serving {
			slots += vm.Slots
		}
	}
	return slots
}

// recordProgress stores a VM's progress and adjusts the width of the run.
func (f *Fleet) recordProgress(pos position, run plan.WaveRun, step plan.WaveStep, next plan.Progress) {
	run.VMs = maps.Clone(run.VMs)
	run.VMs[step.VM] = next
	switch step.To {
	case plan.Done:
		widen(&run)
	case plan.Lost:
		run.Losses++
		narrow(&run, pos)
	}
	f.setRun(pos.index, run)
}

// widen doubles the width of a run when as many VMs have returned to service.
func widen(run *plan.WaveRun) {
	run.Streak++
	if run.Streak >= run.Width {
		run.Width *= 2
		run.Streak = 0
	}
}
