package ingress

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	openConnections = metrics.NewGauge("arbutus_ingress_connections", nil)
	heldBytes       = metrics.NewGauge("arbutus_ingress_held_bytes", nil)
)

// reason names a limit that a connection or a request has reached.
type reason string

const (
	reasonConnections reason = "connections"
	reasonMemory      reason = "memory"
	reasonHeadSize    reason = "head_size"
	reasonHeadTime    reason = "head_time"
	reasonBodySize    reason = "body_size"
	reasonBodyTime    reason = "body_time"
	reasonIdle        reason = "idle"
)

type tallyKey struct {
	outcome string
	why     reason
}

// tally counts evictions and refusals since the last report.
type tally map[tallyKey]int

func (t tally) evicted(why reason) {
	t[tallyKey{"evicted", why}]++
	metrics.GetOrCreateCounter(fmt.Sprintf("arbutus_ingress_evicted_total{reason=%q}", why)).Inc()
}

func (t tally) refused(why reason) {
	t[tallyKey{"refused", why}]++
	metrics.GetOrCreateCounter(fmt.Sprintf("arbutus_ingress_refused_total{reason=%q}", why)).Inc()
}
