package control

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/process/state"
)

// registerMetrics exports how long each entry has been behind the newest
// accepted version. The gauges are written from the state at each scrape, so
// that no gauge of a removed entry remains.
func (s *Server) registerMetrics() {
	metrics.RegisterMetricsWriter(func(w io.Writer) { s.writeInForceLag(w, time.Now()) })
}

// writeInForceLag writes for each entry how long the newest accepted version
// has not been in force there, or 0 if it is in force. Only the leader writes
// the gauges. Entries prefer to watch the leader, so the observations of a
// follower may be old or missing.
func (s *Server) writeInForceLag(w io.Writer, now time.Time) {
	if s.replica.Status().Leader != s.settings.ID {
		return
	}
	f := s.machine.Fleet()
	accepted := acceptedAt(f)
	for id, known := range f.Entries {
		lag := 0.0
		if !s.entryStatus(f, known.Entry).InForce && !accepted.IsZero() {
			lag = max(0, now.Sub(accepted).Seconds())
		}
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("arbutus_in_force_lag_seconds{entry=%q}", id), lag)
	}
}

// acceptedAt returns the time at which the newest version was accepted.
func acceptedAt(f *state.Fleet) time.Time {
	if len(f.Submissions) == 0 {
		return time.Time{}
	}
	return time.UnixMilli(f.Submissions[len(f.Submissions)-1].AtMS)
}
