package control

import (
	"maps"
	"sort"

	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/state"
)

// all returns the last observation of each entry.
func (o *observers) all() map[string]observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.entries)
}

// unconfirmed returns the registered entries of a draining VM's zone that
// have not confirmed its drain. A confirmation holds if it stands in the newest
// report of the entry's present run, names the VM's epoch, and the entry
// works by the revision that made the VM drain or a later one. A silent
// entry has not confirmed.
func unconfirmed(f *state.Fleet, vm state.OwnedVM, reports map[string]message.Report) []string {
	var missing []string
	for id, entry := range f.Entries {
		if entry.Zone != vm.Zone {
			continue
		}
		report, heard := reports[id]
		if !heard || report.Revision < vm.Changed || !confirms(report, vm) {
			missing = append(missing, id)
		}
	}
	sort.Strings(missing)
	return missing
}

// tasksLeft names the tasks that a VM still runs.
func (s *Server) tasksLeft(vm string) []string {
	var left []string
	for _, job := range s.machine.TasksOn(vm) {
		left = append(left, "task "+job)
	}
	return left
}

func confirms(report message.Report, vm state.OwnedVM) bool {
	for _, drained := range report.Drained {
		if drained.VM == vm.Name && drained.Epoch == vm.Epoch {
			return true
		}
	}
	return false
}
