package scheduler

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workerlease"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

var (
	leaseEnds = map[workerlease.Basis]*metrics.Counter{
		workerlease.Own:       metrics.NewCounter(`arbutus_runs_ended_by_lease_total{basis="own"}`),
		workerlease.Inherited: metrics.NewCounter(`arbutus_runs_ended_by_lease_total{basis="inherited"}`),
		workerlease.Stray:     metrics.NewCounter(`arbutus_runs_ended_by_lease_total{basis="stray"}`),
	}
	strayLeaseContacts = metrics.NewCounter(`arbutus_stray_lease_contacts_total`)
)

// leaseAttrs returns what the leader knows about the leases of a worker. The clock is
// that of the last reading, to which lease_ms is relative.
func (w *worker) leaseAttrs(now time.Time, longest time.Duration) []any {
	attrs := []any{"worker", w.reg.ID, "incarnation", w.reg.Incarnation, "token", uint64(w.token), "known_ms", now.Sub(w.lease.KnownSince()).Milliseconds(),
		"contacted", w.contacted, "basis", w.lease.Basis(longest)}
	if !w.lease.OnClock() {
		return append(attrs, "bound_ms", w.lease.MaxUncontacted(longest).Milliseconds())
	}
	reading, until := w.lease.Reading(), w.lease.UntilMS()
	return append(attrs, "clock_ms", reading.MS, "clock_age_ms", now.Sub(reading.At).Milliseconds(), "lease_ms", until-reading.MS, "until_ms", until)
}

// answerAge returns how long ago the worker answered, if it ever did.
func (w *worker) answerAge(now time.Time) []any {
	if w.answeredAt.IsZero() {
		return nil
	}
	return []any{"answered_ms_ago", now.Sub(w.answeredAt).Milliseconds()}
}

// logContact logs the first answer of a worker.
func (l *loop) logContact(w *worker, report *execution.Report, now time.Time) {
	if w.lease.IDReused() {
		strayLeaseContacts.Inc()
	}
	attrs := append(w.leaseAttrs(now, l.Limits.LongestLease), "restarted", w.reg.Restarted, "id_reused", w.lease.IDReused())
	attrs = append(attrs, "first_clock_ms", w.reg.FirstClockMS, "running", len(report.Running), "ended", len(report.Ended))
	l.Log.Info("worker contacted", attrs...)
}

// logUnresponsive logs that a worker does not answer, or refuses a watch.
func (l *loop) logUnresponsive(w *worker, now time.Time, refusal execution.Refusal, err error) {
	attrs := append(w.leaseAttrs(now, l.Limits.LongestLease), "refusal", refusal, "error", errorText(err))
	l.Log.Warn("worker unresponsive", append(attrs, w.answerAge(now)...)...)
}

// logLost logs that a worker is considered lost.
func (l *loop) logLost(w *worker, now time.Time) {
	attrs := []any{"worker", w.reg.ID, "incarnation", w.reg.Incarnation, "known_ms", now.Sub(w.lease.KnownSince()).Milliseconds()}
	l.Log.Warn("worker lost", append(attrs, w.answerAge(now)...)...)
}

// logLeaseEnd logs and counts a run that ends with the lease of its worker, and once
// for each silence of the worker what the leader went by.
func (l *loop) logLeaseEnd(id workload.TaskID, task *workstate.Task, r *run, w *worker, now time.Time) {
	basis := w.lease.Basis(l.Limits.LongestLease)
	leaseEnds[basis].Inc()
	if !w.expiryLoggedFor.Equal(w.failedAt) {
		w.expiryLoggedFor = w.failedAt
		attrs := append(w.leaseAttrs(now, l.Limits.LongestLease), "silent_ms", now.Sub(w.failedAt).Milliseconds())
		if w.lease.OnClock() {
			attrs = append(attrs, "slowest_clock_ms", w.lease.SlowestMS(now))
		}
		l.Log.Info("leases of worker expired", append(attrs, w.answerAge(now)...)...)
	}
	l.Log.Info("run ended with the lease of its worker", "task", id.String(), "run", task.Run, "worker", task.Worker, "incarnation", w.reg.Incarnation,
		"run_incarnation", task.Incarnation, "basis", basis, "settled", r.settled)
}

// logRegistered logs a registration that was committed.
func (s *Server) logRegistered(r *workcall.HeartbeatRequest, result workstate.Result) {
	attrs := []any{"worker", r.Worker.ID, "incarnation", r.Worker.Incarnation, "vm", r.Worker.VM, "address", r.Worker.Address,
		"service", r.Worker.Service, "draining", r.Worker.Draining, "stale", result.Repeated, "sequence", r.Sequence, "clock_ms", r.ClockMS}
	s.machine.Read(func(v *workstate.View) {
		if known := v.Workers()[r.Worker.ID]; known != nil && known.Incarnation == r.Worker.Incarnation {
			attrs = append(attrs, "restarted", known.Restarted)
		}
	})
	s.log.Info("worker registered", attrs...)
}
