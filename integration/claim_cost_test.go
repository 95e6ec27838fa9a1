package integration

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestCostOfAClaim prints the time that claiming an idempotency key adds to a
// request, with three voters that sync to disk.
func TestCostOfAClaim(t *testing.T) {
	d := newDeployment(t)
	d.addControls("za", "za", "zb")
	entry := d.addEntry("entry-a1", "za")
	d.addSmallTargets()
	d.apply(smallFleet)
	d.waitServed(entry.url() + "/booking/1")
	const requests = 200
	measure := func(what string, send func(i int) (callReply, error)) {
		var times []time.Duration
		for i := range requests {
			start := time.Now()
			got, err := send(i)
			must(t, err)
			if got.outcome != "ran" {
				t.Fatalf("%s: outcome %q: %s", what, got.outcome, got.body)
			}
			times = append(times, time.Since(start))
		}
		slices.Sort(times)
		t.Logf("%s: median %s, 99%% %s", what, times[requests/2], times[requests*99/100])
	}
	measure("without a key", func(i int) (callReply, error) { return call("POST", entry.url()+"/booking/1") })
	measure("with a key", func(i int) (callReply, error) { return sendKeyed(entry, fmt.Sprint("cost", i), "1", "") })
	measure("repeat of a key", func(i int) (callReply, error) { return sendKeyed(entry, fmt.Sprint("cost", i), "2", "") })
}
