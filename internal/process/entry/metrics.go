package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/request/claim"
)

// Metrics of an entry.
var (
	reportsFailed   = metrics.NewCounter("arbutus_reports_failed_total")
	watchesFailed   = metrics.NewCounter("arbutus_watches_failed_total")
	leaseMismatches = metrics.NewCounter("arbutus_lease_digest_mismatches_total")
	livePeersGauge  = metrics.NewGauge("arbutus_zone_peers_live", nil)
	revisionGauge   = metrics.NewGauge("arbutus_view_revision", nil)
)

// countClaim counts a claim by its state. The state is "" if the call to the
// leader failed.
func countClaim(result claim.State) {
	metrics.GetOrCreateCounter(fmt.Sprintf("arbutus_claims_total{state=%q}", result)).Inc()
}
