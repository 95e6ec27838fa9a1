package cost

import (
	"reflect"
	"sort"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

func (c *Comparison) compareServices(before, after *fleet.Document) {
	c.AddedServices, c.RemovedServices, c.ChangedServices = []string{}, []string{}, []string{}
	known := byName(before)
	for name, service := range byName(after) {
		old, found := known[name]
		switch {
		case !found:
			c.AddedServices = append(c.AddedServices, name)
		case !reflect.DeepEqual(old, service):
			c.ChangedServices = append(c.ChangedServices, name)
		}
		delete(known, name)
	}
	for name := range known {
		c.RemovedServices = append(c.RemovedServices, name)
	}
	sort.Strings(c.AddedServices)
	sort.Strings(c.ChangedServices)
	sort.Strings(c.RemovedServices)
}

func byName(document *fleet.Document) map[string]fleet.Service {
	services := map[string]fleet.Service{}
	if document == nil {
		return services
	}
	for _, service := range document.Services {
		services[service.Name] = service
	}
	return services
}
