package integration

import (
	"fmt"
	"testing"

	"arbutusward.example/arbutusward/internal/standin"
)

// smallFleet is a fleet document with two zones, two pools and three services,
// of which "cleanup" is for batch requests.
const smallFleet = `{
  "schema": 1, "deployment": "small",
  "zones": [{"name": "za", "racks": ["ra1", "ra2"]}, {"name": "zb", "racks": ["rb1", "rb2"]}],
  "pools": [
    {"name": "booking", "tolerate": {"racks": 0, "vms": 1}},
    {"name": "office", "spare": true, "job_share": 0.5, "tolerate": {"racks": 0, "vms": 1}}
  ],
  "vms": [
    {"name": "booking-a", "count": 2, "pool": "booking", "zone": "za", "rack": "ra1", "cpu_cores": 4, "memory_gib": 8},
    {"name": "booking-b", "count": 2, "pool": "booking", "zone": "zb", "rack": "rb1", "cpu_cores": 4, "memory_gib": 8},
    {"name": "office-a", "count": 2, "pool": "office", "zone": "za", "rack": "ra2", "cpu_cores": 4, "memory_gib": 8},
    {"name": "office-b", "count": 2, "pool": "office", "zone": "zb", "rack": "rb2", "cpu_cores": 4, "memory_gib": 8}
  ],
  "services": [
    {"name": "booking", "pool": "booking", "path_prefix": "/booking/", "class": "interactive", "deadline_ms": 2000, "spill": true, "echoes_request_id": true, "budget": {"promised_slots": 16}},
    {"name": "office", "pool": "office", "path_prefix": "/office/", "class": "interactive", "deadline_ms": 3000, "budget": {"promised_slots": 16}},
    {"name": "cleanup", "pool": "office", "path_prefix": "/cleanup/", "class": "batch", "deadline_ms": 30000, "budget": {"promised_slots": 0}}
  ],
  "teams": [{"name": "divers", "quota": {"cpu_cores": 16, "memory_gib": 32}}],
  "waves": [{"name": "kernel", "pools": ["booking", "office"], "settle_s": 1}],
  "weights": {"buffer": 1, "rollout": 1, "moves": 1}
}`

// smallServices lists the services of smallFleet.
var smallServices = []string{"booking", "office", "cleanup"}

// newSmallDeployment starts one control process and applies smallFleet.
func newSmallDeployment(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t)
	d.addControls("za")
	d.apply(smallFleet)
	return d
}

// newZonePeers starts one control process and two entries of zone za.
func newZonePeers(t *testing.T) (d *deployment, first, second *entryProcess) {
	t.Helper()
	d = newDeployment(t)
	d.addControls("za")
	return d, d.addEntry("entry-a1", "za"), d.addEntry("entry-a2", "za")
}

// newServingDeployment starts one control process, one entry and the targets of
// smallFleet, and waits until the entry serves.
func newServingDeployment(t *testing.T) (*deployment, *entryProcess, map[string]*standin.Target) {
	t.Helper()
	d := newDeployment(t)
	d.addControls("za")
	entry := d.addEntry("entry-a1", "za")
	targets := d.addSmallTargets()
	d.apply(smallFleet)
	d.waitServed(entry.url() + "/booking/1")
	return d, entry, targets
}

// addSmallTargets starts the targets of the eight VMs of smallFleet and returns
// them by the name of the VM.
func (d *deployment) addSmallTargets() map[string]*standin.Target {
	d.t.Helper()
	targets := map[string]*standin.Target{}
	for _, pool := range []string{"booking", "office"} {
		for _, zone := range []string{"a", "b"} {
			for i := 1; i <= 2; i++ {
				name := fmt.Sprintf("%s-%s-%d", pool, zone, i)
				targets[name] = d.addTarget(name, pool, "z"+zone, smallServices...)
			}
		}
	}
	return targets
}
