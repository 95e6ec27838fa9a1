package state

// vmAt returns a VM if it still is at the epoch that a proposer saw.
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
	_, declared := f.pools[name]
	return declared
}
