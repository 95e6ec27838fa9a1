package control

import (
	"fmt"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// BenchmarkPlanInput builds the input of the planners for a fleet in which
// each entry reports the targets of its zone.
func BenchmarkPlanInput(b *testing.B) {
	const zones, entriesPerZone = 7, 2
	for _, workers := range []int{50, 200, 800, 2000} {
		server := &Server{observations: newObservations(), machine: state.NewMachine()}
		f := &state.Fleet{Version: 1, Document: &fleet.Document{}, VMs: map[string]state.OwnedVM{}, Entries: map[string]state.RegisteredEntry{}}
		targets := map[string][]message.TargetHealth{}
		for i := range workers {
			vm := view.VM{Name: fmt.Sprintf("vm-%d", i), Pool: fmt.Sprintf("p%d", i%217), Zone: fmt.Sprintf("z%d", i%zones), Slots: 8, Phase: view.Serving}
			f.VMs[vm.Name] = state.OwnedVM{VM: vm}
			f.Document.VMs = append(f.Document.VMs, fleet.VM{Name: vm.Name, Pool: vm.Pool})
			targets[vm.Zone] = append(targets[vm.Zone], message.TargetHealth{VM: vm.Name, Live: true})
		}
		for i := range zones * entriesPerZone {
			entry := view.Entry{ID: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%zones)}
			f.Entries[entry.ID] = state.RegisteredEntry{Entry: entry}
			server.observations.record(message.Report{EntryID: entry.ID, Zone: entry.Zone, Incarnation: "run", Full: true, Targets: targets[entry.Zone]})
		}
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			liveness := newLivenessTracker()
			now := time.Now()
			for b.Loop() {
				server.planInput(f, liveness, nil, now)
			}
		})
	}
}
