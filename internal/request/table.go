package request

import (
	"hash/fnv"
	"slices"
	"sort"
	"strings"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// noRank is the rank of an entry that does not know its position among the
// live entries of its zone.
const noRank = -1

// Table is the immutable routing state for requests: the view joined with the
// announced targets.
type Table struct {
	// View is the replicated view that the table was made from.
	View *view.View
	// targets are the announced targets by VM.
	targets map[string]announce.Target
	// services is ordered by descending length of the path prefix.
	services []fleet.Service
	// entries is the number of live entries that share each VM, and rank is
	// the position of this entry among them.
	entries, rank int
}

// NewTable joins the view with the announced targets. The slots of each VM are
// divided among liveEntries, the number of live entries of the zone.
func NewTable(v *view.View, targets *announce.Snapshot, liveEntries int) *Table {
	table := &Table{View: v, targets: targets.Targets, entries: max(1, liveEntries), rank: noRank}
	for _, service := range v.Services {
		table.services = append(table.services, service)
	}
	sort.Slice(table.services, func(i, j int) bool {
		a, b := table.services[i], table.services[j]
		if len(a.PathPrefix) != len(b.PathPrefix) {
			return len(a.PathPrefix) > len(b.PathPrefix)
		}
		return a.Name < b.Name
	})
	return table
}

// WithRank returns the table for the entry whose position among the live
// entries of its zone, ordered by ID, is rank. Without a rank an entry does not
// use the remainder of the division of a VM's slots.
func (t *Table) WithRank(rank int) *Table {
	ranked := *t
	ranked.rank = rank
	return &ranked
}

// share returns this entry's part of a VM's slots or connections, at least 1.
// The remainder of the division is given to a set of entries that depends on
// the VM, one each, so that the shares of all entries add up to the total.
func (t *Table) share(vm string, total int) int {
	share := total / t.entries
	if t.rank != noRank {
		sum := fnv.New32a()
		// Writing to a hash never fails.
		_, _ = sum.Write([]byte(vm))
		position := (t.rank + int(sum.Sum32()%uint32(t.entries))) % t.entries
		if position < total%t.entries {
			share++
		}
	}
	return max(1, share)
}

// find returns the service with the longest prefix of the path, or nil.
func (t *Table) find(path string) *fleet.Service {
	for i := range t.services {
		if strings.HasPrefix(path, t.services[i].PathPrefix) {
			return &t.services[i]
		}
	}
	return nil
}

// target returns the announced target of a VM, and whether it may get work.
func (t *Table) target(vm view.VM) (announce.Target, bool) {
	target, announced := t.targets[vm.Name]
	return target, announced && vm.Phase == view.Serving && !target.Leaving
}

// signature returns a key for the set of services that a target announces.
func signature(target announce.Target) string {
	services := slices.Clone(target.Services)
	slices.Sort(services)
	return strings.Join(services, " ")
}
