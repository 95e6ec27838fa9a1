package driver

import "github.com/VictoriaMetrics/metrics"

// Metrics of the replica of this process.
var (
	termGauge       = metrics.GetOrCreateGauge("arbutus_replica_term", nil)
	commitGauge     = metrics.GetOrCreateGauge("arbutus_replica_commit_index", nil)
	logGauge        = metrics.GetOrCreateGauge("arbutus_replica_log_bytes", nil)
	snapshotGauge   = metrics.GetOrCreateGauge("arbutus_replica_snapshot_bytes", nil)
	syncSeconds     = metrics.GetOrCreateSummary("arbutus_replica_fsync_seconds")
	snapshotSeconds = metrics.GetOrCreateSummary("arbutus_replica_snapshot_save_seconds")
	queueSeconds    = metrics.GetOrCreateSummary("arbutus_replica_queue_seconds")
	followerSeconds = metrics.GetOrCreateSummary("arbutus_replica_follower_ack_seconds")
	lateSeconds     = metrics.GetOrCreateSummary("arbutus_replica_late_seconds")
	batchCount      = metrics.GetOrCreateCounter("arbutus_replica_batches_total")
	confirmCount    = metrics.GetOrCreateCounter("arbutus_replica_confirmations_total")
	droppedCount    = metrics.GetOrCreateCounter("arbutus_replica_messages_dropped_total")
)
