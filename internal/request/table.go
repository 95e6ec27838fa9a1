package request

import (
	"sort"
	"strings"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Table is all that serving a request needs to know, as one immutable value.
type Table struct {
	// View is the replicated knowledge the table was made from.
	View *view.View
	// routes is ordered by falling length of the path prefix.
	routes []route
}

// route is a service with its targets.
type route struct {
	service fleet.Service
	targets []announce.Target
}

// NewTable joins the view with the announced targets. The slots of each VM
// are shared by the number of live entries of the zone, at least 1.
func NewTable(v *view.View, targets *announce.Snapshot, liveEntries int) *Table {
	table := &Table{View: v}
	for _, service := range v.Services {
		table.routes = append(table.routes, route{service: service, targets: targetsOf(service, v, targets)})
	}
	sort.Slice(table.routes, func(i, j int) bool {
		return len(table.routes[i].service.PathPrefix) > len(table.routes[j].service.PathPrefix)
	})
	return table
}

// targetsOf returns the targets of a service's home pool that may get work.
func targetsOf(service fleet.Service, v *view.View, targets *announce.Snapshot) []announce.Target {
	var found []announce.Target
	for _, target := range targets.Targets {
		vm, known := v.VMs[target.VM]
		if known && vm.Pool == service.Pool && vm.Phase == view.Serving && !target.Leaving {
			found = append(found, target)
		}
	}
	return found
}

// find returns the route of a path.
func (t *Table) find(path string) *route {
	for i := range t.routes {
		if strings.HasPrefix(path, t.routes[i].service.PathPrefix) {
			return &t.routes[i]
		}
	}
	return nil
}
