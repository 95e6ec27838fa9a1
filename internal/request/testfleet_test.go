package request

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/request/claim"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// testFleet is a handler with VMs whose targets run in the test.
type testFleet struct {
	handler *Handler
	view    *view.View
	targets map[string]announce.Target
}

// Snapshot implements LeaseSource.
func (f *testFleet) Snapshot() *announce.Snapshot { return &announce.Snapshot{Targets: f.targets} }

// newTestFleet returns a fleet without VMs. It has a pool "home" with the
// services "interactive" and "batch", which may spill, and a pool "spare" with
// the service "own".
func newTestFleet(claimer claim.Claimer) *testFleet {
	f := &testFleet{view: view.Empty(), targets: map[string]announce.Target{}}
	recorder := timeline.NewRecorder("test", "z")
	f.handler = NewHandler(targetconn.NewClient(), claimer, recorder, slog.New(slog.DiscardHandler))
	f.handler.SetLeaseSource(f)
	f.view.Version, f.view.SparePool = 1, "spare"
	f.addService("interactive", "home", fleet.Interactive)
	f.addService("batch", "home", fleet.Batch)
	f.addService("own", "spare", fleet.Interactive)
	return f
}

func (f *testFleet) addService(name, pool string, class fleet.Class) {
	f.view.Services[name] = fleet.Service{Name: name, Pool: pool, PathPrefix: "/" + name + "/", Class: class, DeadlineMS: 2000,
		QueueLimit: 64, MaxRequestBytes: 1 << 20, MaxResponseBytes: 8 << 20, Spill: pool == "home", IdempotentMethods: []string{"GET"}}
}

// addVM adds a VM with a target at the address.
func (f *testFleet) addVM(name, pool, address string) {
	f.view.VMs[name] = view.VM{Name: name, Pool: pool, Zone: "z", Rack: "r" + name, Epoch: 1, Phase: view.Serving, Slots: 8, Connections: 64}
	f.targets[name] = announce.Target{Announcement: announce.Announcement{VM: name, Address: address, Incarnation: "1"},
		Pool: pool, Expires: time.Now().Add(time.Hour)}
}

// publish sets the handler's table from the present view and targets.
func (f *testFleet) publish() { f.handler.SetTable(NewTable(f.view, f.Snapshot(), 1)) }

// setPhase changes the phase of a VM and returns the VM's new epoch.
func (f *testFleet) setPhase(name string, phase view.Phase) uint64 {
	vm := f.view.VMs[name]
	vm.Phase = phase
	vm.Epoch++
	next := *f.view
	next.VMs = map[string]view.VM{}
	for other := range f.view.VMs {
		next.VMs[other] = f.view.VMs[other]
	}
	next.VMs[name] = vm
	f.view = &next
	f.publish()
	return vm.Epoch
}

// serveTarget runs a target until the test ends and returns its address.
func serveTarget(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// slotRequestFor returns a request for a slot of a service.
func (f *testFleet) slotRequestFor(service, caller string) slotRequest {
	return slotRequest{service: f.handler.scheduler.services[service], caller: caller, deadline: time.Now().Add(2 * time.Second)}
}
