package integration

import (
	"net/http"
	"testing"
	"time"
)

// controlBudget is the highest allowed traffic between an entry and control, in
// bytes per second.
const controlBudget = 15_000

// TestBytesBetweenEntryAndControl counts the bytes of watches, reports and batch
// pulls while idle and under load, without the IP and UDP headers.
func TestBytesBetweenEntryAndControl(t *testing.T) {
	d, relay := newRelayedDeployment(t)
	entry := d.addEntry("entry-a1", "za", relay.address)
	d.addSmallTargets()
	d.apply(smallFleet)
	d.waitServed(entry.url() + "/booking/1")
	time.Sleep(4 * time.Second)
	measure := func(what string) {
		const window = 5 * time.Second
		before := relay.toServer.passed.Load() + relay.toClient.passed.Load()
		time.Sleep(window)
		rate := float64(relay.toServer.passed.Load()+relay.toClient.passed.Load()-before) / window.Seconds()
		t.Logf("%s: %.0f B/s between the entry and control", what, rate)
		if rate > controlBudget {
			t.Errorf("%s: above %d B/s", what, controlBudget)
		}
	}
	measure("at rest")
	done := make(chan struct{})
	for range 8 {
		go func() {
			for {
				select {
				case <-done:
					return
				default:
					_, _ = call(http.MethodGet, entry.url()+"/booking/load?sleep_ms=5")
				}
			}
		}()
	}
	measure("under load without keys")
	close(done)
}
