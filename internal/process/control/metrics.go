package control

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/process/state"
)

// registerMetrics exports how far each entry is behind the newest accepted
// version. The gauges are written anew each time, so that a removed entry
// leaves none behind.
func (s *Server) registerMetrics() {
	metrics.RegisterMetricsWriter(func(w io.Writer) { s.writeLag(w, time.Now()) })
}

// writeLag writes the time for which an accepted version has not been in
// force in each entry; 0 for an entry that works by it. Only the leader
// hears entries, so only it tells.
func (s *Server) writeLag(w io.Writer, now time.Time) {
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

// acceptedAt returns when the newest version was accepted.
func acceptedAt(f *state.Fleet) time.Time {
	if len(f.Submissions) == 0 {
		return time.Time{}
	}
	return time.UnixMilli(f.Submissions[len(f.Submissions)-1].AtMS)
}
