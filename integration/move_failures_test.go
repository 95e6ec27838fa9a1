package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/standin"
	"arbutusward.example/arbutusward/internal/version/view"
)

// movableFleet is smallFleet with a short minimum dwell time in pool booking, and
// with the pool of VM booking-a-2 left for fleetWithVMIn to fill in.
var movableFleet = strings.Replace(strings.Replace(smallFleet,
	`{"name": "booking", "tolerate": {"racks": 0, "vms": 1}}`, `{"name": "booking", "min_dwell_s": 1, "tolerate": {"racks": 0, "vms": 1}}`, 1),
	`{"name": "booking-a", "count": 2, "pool": "booking", "zone": "za", "rack": "ra1", "cpu_cores": 4, "memory_gib": 8},`,
	`{"name": "booking-a-1", "pool": "booking", "zone": "za", "rack": "ra1", "cpu_cores": 4, "memory_gib": 8},
	{"name": "booking-a-2", "pool": "POOL", "zone": "za", "rack": "ra1", "cpu_cores": 4, "memory_gib": 8},`, 1)

// fleetWithVMIn returns movableFleet with VM booking-a-2 in the given pool.
func fleetWithVMIn(pool string) string { return strings.Replace(movableFleet, "POOL", pool, 1) }

// vm returns the pool and phase of a VM.
func (d *deployment) vm(name string) view.VM {
	d.t.Helper()
	var found view.VM
	eventually(d.t, 10*time.Second, "the status names "+name, func() error {
		status, err := d.status()
		if err != nil {
			return err
		}
		for _, vm := range status.VMs {
			if vm.Name == name {
				found = vm
				return nil
			}
		}
		return fmt.Errorf("no VM %s", name)
	})
	return found
}

// newMovableDeployment starts one control process, an entry in each zone and the
// targets of smallFleet, applies fleetWithVMIn("booking") and waits until zone za
// serves.
func newMovableDeployment(t *testing.T) (*deployment, map[string]*standin.Target) {
	t.Helper()
	d := newDeployment(t)
	d.addControls("za")
	entry := d.addEntry("entry-a1", "za")
	d.addEntry("entry-b1", "zb")
	targets := d.addSmallTargets()
	d.apply(fleetWithVMIn("booking"))
	d.waitServed(entry.url() + "/booking/1")
	return d, targets
}

// TestDocumentThatChangesPoolsMovesAVMWithOneOwner moves a VM while an entry of
// its zone is frozen. The VM must drain, wait for the confirmation of the entry,
// and then serve its new pool only. The test fails if an entry that does not
// answer counts as confirming the move.
func TestDocumentThatChangesPoolsMovesAVMWithOneOwner(t *testing.T) {
	t.Parallel()
	d, first, frozen := newZonePeers(t)
	d.addEntry("entry-b1", "zb")
	targets := d.addSmallTargets()
	d.apply(fleetWithVMIn("booking"))
	d.waitInForce(10 * time.Second)
	d.waitServed(first.url() + "/booking/1")
	time.Sleep(2 * time.Second)
	frozen.signal(syscall.SIGSTOP)
	d.apply(fleetWithVMIn("office"))
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if vm := d.vm("booking-a-2"); vm.Pool != "booking" {
			t.Fatalf("moved to %s while an entry of the zone was frozen", vm.Pool)
		}
	}
	frozen.signal(syscall.SIGCONT)
	eventually(t, 15*time.Second, "the VM serves its new pool", func() error {
		if vm := d.vm("booking-a-2"); vm.Pool != "office" || vm.Phase != view.Serving {
			var report control.MoveReport
			d.call(http.MethodGet, "/v1/moves", nil, &report)
			return fmt.Errorf("%+v, moves %+v", vm, report)
		}
		return nil
	})
	time.Sleep(time.Second)
	before := len(targets["booking-a-2"].Runs())
	for i := range 20 {
		resp, err := http.Get(fmt.Sprintf("%s/booking/%d", first.url(), i))
		must(t, err)
		var reply standin.Reply
		must(t, json.NewDecoder(resp.Body).Decode(&reply))
		must(t, resp.Body.Close())
		if reply.VM == "booking-a-2" {
			t.Errorf("request %d of the old pool ran on the VM after its move", i)
		}
	}
	if runs := len(targets["booking-a-2"].Runs()) - before; runs > 0 {
		t.Errorf("%d requests of the old pool ran on the VM", runs)
	}
}

// TestVMDroppedFromTheDocumentIsDrainedAndRemoved drops a VM with requests in
// flight from the document. The test fails if the removal does not wait for the
// drain.
func TestVMDroppedFromTheDocumentIsDrainedAndRemoved(t *testing.T) {
	t.Parallel()
	d, targets := newMovableDeployment(t)
	dropped := "booking-a-2"
	load := d.startLoad()
	eventually(t, 5*time.Second, "requests run on the VM", func() error {
		if targets[dropped].InFlight() == 0 {
			return fmt.Errorf("no requests in flight")
		}
		return nil
	})
	// This entry is started after the load, so that no request goes through it.
	frozen := d.addEntry("entry-a2", "za")
	d.waitInForce(10 * time.Second)
	// The drain begins only after control has received reports of the entry.
	time.Sleep(2 * time.Second)
	frozen.signal(syscall.SIGSTOP)
	var kept []string
	for _, line := range strings.Split(movableFleet, "\n") {
		if !strings.Contains(line, "POOL") {
			kept = append(kept, line)
		}
	}
	d.apply(strings.Join(kept, "\n"))
	eventually(t, 5*time.Second, "the VM drains", func() error {
		if vm := d.vm(dropped); vm.Phase != view.Draining {
			return fmt.Errorf("%+v", vm)
		}
		return nil
	})
	time.Sleep(4 * time.Second)
	if vm := d.vm(dropped); vm.Phase != view.Draining {
		t.Errorf("%+v while an entry of the zone is frozen", vm)
	}
	frozen.signal(syscall.SIGCONT)
	eventually(t, 15*time.Second, "the VM is removed", func() error {
		status, err := d.status()
		if err != nil {
			return err
		}
		for _, vm := range status.VMs {
			if vm.Name == dropped {
				return fmt.Errorf("%+v", vm)
			}
		}
		return nil
	})
	if running := targets[dropped].InFlight(); running > 0 {
		t.Errorf("removed with %d requests in flight", running)
	}
	load.stop()
}

// TestOperatorMoveThatDisagreesWithTheDocumentIsRefused orders a move that the
// document does not declare. It also plans a document that declares the move, and
// checks that its cost is shown.
func TestOperatorMoveThatDisagreesWithTheDocumentIsRefused(t *testing.T) {
	t.Parallel()
	d, _ := newMovableDeployment(t)
	eventually(t, 5*time.Second, "the order is refused for the document", func() error {
		result := d.ctl(keys.Operator, "move", "booking-a-2", "office")
		if result.code == 0 || !strings.Contains(result.stderr, "document") {
			return fmt.Errorf("%+v", result)
		}
		return nil
	})
	file := d.writeFile("moved.jsonc", fleetWithVMIn("office"))
	d.ctl(keys.Viewer, "plan", file).expect(t, 0, "move booking-a-2 from booking to office", "1 VMs leave their pool in 1 rounds")
	d.ctl(keys.Viewer, "capacity").expect(t, 0, "MARGIN AFTER LOSSES", "booking")
}
