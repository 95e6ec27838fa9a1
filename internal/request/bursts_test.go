package request

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// Load of the measurement. The services burst one after another, each followed
// by a lull.
const (
	burstFactor = 5.0
	burstTime   = 5 * time.Second
	lullFactor  = 1.0 / 20
	lullTime    = time.Second
	// meanUse is the fraction of a pool's slots in use when all its services run
	// at their mean rates.
	meanUse = 0.3
	// serviceTime is the mean service time. Service times are distributed
	// exponentially.
	serviceTime = 100 * time.Millisecond
	// hedgeAfter is the 95th percentile of the service time.
	hedgeAfter = 300 * time.Millisecond
	// entriesOfZone is the number of entries that share the zone's VMs.
	entriesOfZone = 2
	timeHeader    = "X-Service-Time-Us"
)

// TestBursts measures one zone of each deployment under bursts of each service
// in turn, for each policy. It takes minutes and runs only with
// ARBUTUS_BURSTS=1.
func TestBursts(t *testing.T) {
	if os.Getenv("ARBUTUS_BURSTS") == "" {
		t.Skip("the measurement takes minutes; set ARBUTUS_BURSTS=1")
	}
	for _, deployment := range []string{"duna", "superintendencia"} {
		text, err := os.ReadFile("../../examples/" + deployment + ".jsonc")
		if err != nil {
			t.Fatal(err)
		}
		document, err := fleet.Parse(deployment, text)
		if err != nil {
			t.Fatal(err)
		}
		for _, policy := range []string{"random", "no-queue", "no-spill", "full", "limit-512", "hedged"} {
			t.Run(deployment+"/"+policy, func(t *testing.T) {
				zone := newBurstZone(t, document, policy)
				zone.run()
				zone.report(deployment + " " + policy)
			})
		}
	}
}

// report logs the results of each service during its own burst, those of all
// requests by class, and those of the interactive services of the spare pool
// outside their own bursts.
func (z *burstZone) report(title string) {
	spilled := map[string]uint64{}
	for _, h := range z.handlers {
		for _, u := range h.Usage() {
			spilled[u.Service] += u.Spilled
		}
	}
	for _, name := range z.services() {
		own := z.summary(func(s burstSample) bool { return s.service == name && s.bursting == name })
		z.t.Logf("%-26s %-16s own burst: %s spilled %d", title, name, own, spilled[name])
	}
	interactive := func(s burstSample) bool { return z.view.Services[s.service].Class == fleet.Interactive }
	z.t.Logf("%-26s %-16s %s", title, "interactive all", z.summary(interactive))
	z.t.Logf("%-26s %-16s %s", title, "batch all", z.summary(func(s burstSample) bool { return !interactive(s) }))
	z.t.Logf("%-26s %-16s %s", title, "spare's own", z.summary(func(s burstSample) bool {
		return interactive(s) && z.view.Services[s.service].Pool == z.view.SparePool && s.bursting != s.service
	}))
}

func (z *burstZone) summary(keep func(burstSample) bool) string {
	var ok, refused []time.Duration
	total := 0
	for _, s := range z.samples {
		if !keep(s) {
			continue
		}
		total++
		if s.status == http.StatusOK {
			ok = append(ok, s.took)
		} else {
			refused = append(refused, s.took)
		}
	}
	return fmt.Sprintf("n %5d ok %5.1f%% p50 %4dms p99 %4dms refused %4d p99 %4dms", total, 100*float64(len(ok))/float64(max(1, total)),
		quantile(ok, 0.5).Milliseconds(), quantile(ok, 0.99).Milliseconds(), len(refused), quantile(refused, 0.99).Milliseconds())
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[int(q*float64(len(values)-1))]
}
