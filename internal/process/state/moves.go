package state

import (
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// applyStepMove applies one step of a VM's move. The proposer of a commit or
// retire step must have checked that every entry of the VM's zone has
// confirmed the drain under the epoch; the state machine cannot check this.
func applyStepMove(m *Machine, pos position, step plan.MoveStep) Result {
	f := &m.data.Fleet
	vm, result, ok := f.vmAtEpoch(step.VM, step.Epoch)
	if !ok {
		return result
	}
	if step.Kind == plan.StartMove {
		return f.startMove(pos, vm, step)
	}
	move, moving := f.Moves[step.VM]
	if !moving || move.Epoch != vm.Epoch || vm.Phase != view.Draining {
		return refuse(Conflict, "VM %q is %s at epoch %d and not moving", vm.Name, vm.Phase, vm.Epoch)
	}
	if step.Kind != plan.CancelMove {
		if refusal, refused := m.data.Jobs.checkIdle(vm.Name); refused {
			return refusal
		}
	}
	switch step.Kind {
	case plan.CommitMove:
		return f.commitMove(pos, vm, move, step)
	case plan.CancelMove:
		return f.endMove(pos, vm, vm.Pool, vm.SinceMS)
	case plan.RetireVM:
		return f.retireVM(pos, vm, move)
	}
	return refuse(Malformed, "unknown step %q of a move", step.Kind)
}

// startMove marks a VM as draining for its move.
func (f *Fleet) startMove(pos position, vm OwnedVM, step plan.MoveStep) Result {
	if step.Pool == vm.Pool {
		return refuse(Refused, "VM %q is in pool %s already", vm.Name, vm.Pool)
	}
	if f.desiredPool(vm.Name) != step.Pool {
		return refuse(Refused, "the document names pool %q for VM %q, not %q", f.desiredPool(vm.Name), vm.Name, step.Pool)
	}
	if refusal, refused := f.checkOutOfService(vm); refused {
		return refusal
	}
	vm.Phase = view.Draining
	vm.Epoch++
	f.setVM(pos.index, vm)
	f.Moves[vm.Name] = plan.Move{VM: vm.Name, From: vm.Pool, To: step.Pool, Epoch: vm.Epoch, Cause: step.Cause, AtMS: pos.atMS}
	return okResult(vm.VM)
}

// desiredPool returns the pool that the document declares for a VM, or "".
func (f *Fleet) desiredPool(name string) string { return f.declaredVMs[name].Pool }

// commitMove transfers a drained VM to its new pool.
func (f *Fleet) commitMove(pos position, vm OwnedVM, move plan.Move, step plan.MoveStep) Result {
	if move.To != step.Pool || !f.hasPool(move.To) {
		return refuse(Conflict, "VM %q is moving to pool %q, not %q", vm.Name, move.To, step.Pool)
	}
	return f.endMove(pos, vm, move.To, pos.atMS)
}

// endMove returns a VM to service in a pool under a new epoch.
func (f *Fleet) endMove(pos position, vm OwnedVM, pool string, sinceMS int64) Result {
	delete(f.Moves, vm.Name)
	vm.Pool = pool
	vm.SinceMS = sinceMS
	vm.Phase = view.Serving
	vm.Epoch++
	f.setVM(pos.index, vm)
	return okResult(vm.VM)
}

// retireVM removes a drained VM that the document no longer declares.
func (f *Fleet) retireVM(pos position, vm OwnedVM, move plan.Move) Result {
	if move.To != "" || f.desiredPool(vm.Name) != "" {
		return refuse(Conflict, "VM %q is still declared", vm.Name)
	}
	delete(f.Moves, vm.Name)
	delete(f.VMs, vm.Name)
	f.addTombstone(pos.index, ItemVM, vm.Name)
	vm.Phase = view.Retired
	vm.Epoch++
	return okResult(vm.VM)
}
