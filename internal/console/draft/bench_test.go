package draft

import (
	"fmt"
	"testing"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// largeDocument returns a document of the size expected in two years: 2,000
// workers in 217 pools, 190 teams.
func largeDocument(b *testing.B) *fleet.Document {
	b.Helper()
	d := &fleet.Document{Schema: fleet.SchemaVersion, Deployment: "large", Weights: fleet.Weights{Buffer: 1}}
	for z := range 7 {
		zone := fleet.Zone{Name: fmt.Sprintf("z%d", z)}
		for r := range 72 {
			zone.Racks = append(zone.Racks, fmt.Sprintf("z%d-r%d", z, r))
		}
		d.Zones = append(d.Zones, zone)
	}
	for p := range 217 {
		name := fmt.Sprintf("p%d", p)
		d.Pools = append(d.Pools, fleet.Pool{Name: name, Tolerate: fleet.Tolerance{VMs: 1}})
		d.Services = append(d.Services, fleet.Service{Name: "s-" + name, Pool: name, PathPrefix: "/" + name + "/", Class: fleet.Interactive,
			DeadlineMS: 2000, Budget: fleet.Budget{PromisedSlots: 40}})
	}
	for v := range 2000 {
		zone := v % 7
		d.VMs = append(d.VMs, fleet.VM{Name: fmt.Sprintf("vm-x%d", v), Pool: fmt.Sprintf("p%d", v%217), Zone: fmt.Sprintf("z%d", zone),
			Rack: fmt.Sprintf("z%d-r%d", zone, v%72), CPUCores: 64, MemoryGiB: 256})
	}
	for t := range 190 {
		d.Teams = append(d.Teams, fleet.Team{Name: fmt.Sprintf("t%d", t), Quota: fleet.Resources{CPUCores: 8, MemoryGiB: 8}})
	}
	text, err := fleet.Encode(d)
	if err != nil {
		b.Fatal(err)
	}
	parsed, err := fleet.Parse("large", text)
	if err != nil {
		b.Fatal(err)
	}
	return parsed
}

// BenchmarkChangeAndShow measures one form submission followed by the reads that
// each page makes to show the state of the draft.
func BenchmarkChangeAndShow(b *testing.B) {
	d, err := New(1, largeDocument(b))
	if err != nil {
		b.Fatal(err)
	}
	section, _ := FindSection("vms")
	values, err := d.Values(section, "vm-x7")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if problems, err := d.Put(section, "vm-x7", values); err != nil || len(problems) > 0 {
			b.Fatal(problems, err)
		}
		_ = d.Changes()
		_ = d.Problems()
	}
}
