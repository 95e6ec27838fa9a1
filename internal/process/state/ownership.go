package state

// vmAtEpoch returns a VM if its epoch is still the one that the proposer read.
// Otherwise it returns a refusal and false.
func (f *Fleet) vmAtEpoch(name string, epoch uint64) (OwnedVM, Result, bool) {
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
