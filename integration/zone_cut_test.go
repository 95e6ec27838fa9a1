package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestZoneCutOffGoesOnServingAndCatchesUp cuts the entry of one zone off from all
// control processes for longer than every timeout, while a change is accepted. The
// zone must go on serving with its last view. The status must show that the change
// is not in force there, and it must come in force once the zone is reconnected.
func TestZoneCutOffGoesOnServingAndCatchesUp(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za", "zb", "zb")
	var relays []*relay
	var addresses []string
	for _, control := range d.controls {
		r := newUDPRelay(t, control.settings.Link)
		relays, addresses = append(relays, r), append(addresses, r.address)
	}
	cut := d.addEntry("entry-a1", "za", addresses...)
	other := d.addEntry("entry-b1", "zb")
	d.addSmallTargets()
	d.apply(smallFleet)
	d.waitInForce(10 * time.Second)
	d.waitServed(cut.url() + "/booking/1")
	d.waitServed(other.url() + "/booking/1")

	for _, r := range relays {
		r.setSilent(true)
	}
	version := d.apply(smallFleet + "// changed while zone za is cut off")
	cutFor := time.Now().Add(8 * time.Second)
	for time.Now().Before(cutFor) {
		answer := mustCall(t, http.MethodGet, cut.url()+"/booking/2")
		if answer.status != http.StatusOK {
			t.Fatalf("the zone that is cut off answers with status %d, outcome %s", answer.status, answer.outcome)
		}
		time.Sleep(200 * time.Millisecond)
	}
	keyed := mustCall(t, http.MethodPost, cut.url()+"/booking/3", "Idempotency-Key", "018f0000-0000-7000-8000-000000000001", "X-Arbutus-Caller", "skipper")
	if keyed.outcome != "not-run" {
		t.Errorf("a keyed request without control: status %d, outcome %q", keyed.status, keyed.outcome)
	}
	d.expectInForce(map[string]bool{"entry-a1": false, "entry-b1": true}, version)

	for _, r := range relays {
		r.setSilent(false)
	}
	d.waitInForce(5 * time.Second)
}

// expectInForce waits until the status shows the version in force in exactly the
// entries that are mapped to true.
func (d *deployment) expectInForce(expected map[string]bool, version uint64) {
	d.t.Helper()
	eventually(d.t, 5*time.Second, "the status shows in which entries the version is in force", func() error {
		status, err := d.status()
		if err != nil {
			return err
		}
		if status.Accepted != version {
			return fmt.Errorf("accepted %d, expected %d", status.Accepted, version)
		}
		for _, entry := range status.Entries {
			if entry.InForce != expected[entry.ID] {
				return fmt.Errorf("entry %s: in force %v", entry.ID, entry.InForce)
			}
		}
		return nil
	})
}
