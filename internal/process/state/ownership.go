package state

import "arbutusward.example/arbutusward/internal/version/view"

// PhaseChange is the body of a ChangePhase command.
type PhaseChange struct {
	VM string `cbor:"1,keyasint"`
	// Epoch is the epoch that the proposer saw; another one is a conflict.
	Epoch uint64     `cbor:"2,keyasint"`
	Phase view.Phase `cbor:"3,keyasint"`
	// Cause names the wave, move or failure that asks for it.
	Cause string `cbor:"4,keyasint"`
}

// PoolChange is the body of a CommitMove command. The VM must be draining
// under the epoch, and every entry of its zone must have confirmed it.
type PoolChange struct {
	VM    string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	Pool  string `cbor:"3,keyasint"`
}

// applyChangePhase changes a VM's phase under a new epoch.
func applyChangePhase(m *Machine, c position, change PhaseChange) Result {
	f := &m.data.Fleet
	vm, result, ok := f.vmAt(change.VM, change.Epoch)
	if !ok {
		return result
	}
	vm.Phase = change.Phase
	vm.Epoch++
	f.setVM(c.index, vm)
	return okResult(vm.VM)
}

// applyCommitMove gives a drained VM to another pool under a new epoch.
func applyCommitMove(m *Machine, c position, change PoolChange) Result {
	f := &m.data.Fleet
	vm, result, ok := f.vmAt(change.VM, change.Epoch)
	if !ok {
		return result
	}
	if vm.Phase != view.Draining {
		return refuse(Refused, "VM %q is %s, a move needs it draining", vm.Name, vm.Phase)
	}
	if !f.hasPool(change.Pool) {
		return refuse(NotFound, "pool %q is not declared", change.Pool)
	}
	vm.Pool = change.Pool
	vm.Phase = view.Serving
	vm.SinceMS = c.atMS
	vm.Epoch++
	f.setVM(c.index, vm)
	return okResult(vm.VM)
}

func (f *Fleet) vmAt(name string, epoch uint64) (OwnedVM, Result, bool) {
	vm, known := f.VMs[name]
	if !known {
		return OwnedVM{}, refuse(NotFound, "VM %q is not known", name), false
	}
	if vm.Epoch != epoch {
		return OwnedVM{}, refuse(Conflict, "VM %q is at epoch %d, not %d", name, vm.Epoch, epoch), false
	}
	return vm, Result{}, true
}

func (f *Fleet) hasPool(name string) bool {
	if f.Document == nil {
		return false
	}
	for _, pool := range f.Document.Pools {
		if pool.Name == name {
			return true
		}
	}
	return false
}
