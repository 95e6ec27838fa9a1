package state

import (
	"maps"
	"slices"
)

// TasksOn returns the IDs of the jobs that run on a VM, sorted.
func (m *Machine) TasksOn(vm string) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Sorted(maps.Keys(m.data.Jobs.onWorker[vm]))
}
