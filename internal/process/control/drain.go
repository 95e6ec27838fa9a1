package control

import (
	"maps"
	"sort"

	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/state"
)

// all returns the last observation of each entry.
func (o *observations) all() map[string]observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.entries)
}

// unconfirmedEntries returns the registered entries of a draining VM's zone
// that have not confirmed its drain. A confirmation counts only if it is in
// the newest report of the entry's current incarnation, names the VM's epoch,
// and the entry has applied the revision in which the VM started to drain or
// a later one. An unresponsive entry has not confirmed.
func unconfirmedEntries(f *state.Fleet, vm state.OwnedVM, reports map[string]message.Report) []string {
	var missing []string
	for id, entry := range f.Entries {
		if entry.Zone != vm.Zone {
			continue
		}
		report, known := reports[id]
		if !known || report.Revision < vm.Changed || !confirmsDrain(report, vm) {
			missing = append(missing, id)
		}
	}
	sort.Strings(missing)
	return missing
}

// remainingTasks returns descriptions of the tasks that a VM still runs.
func (s *Server) remainingTasks(vm string) []string {
	var left []string
	for _, job := range s.machine.TasksOn(vm) {
		left = append(left, "task "+job)
	}
	return left
}

// confirmsDrain reports whether the report confirms the drain of the VM in
// its current epoch.
func confirmsDrain(report message.Report, vm state.OwnedVM) bool {
	for _, drained := range report.Drained {
		if drained.VM == vm.Name && drained.Epoch == vm.Epoch {
			return true
		}
	}
	return false
}
