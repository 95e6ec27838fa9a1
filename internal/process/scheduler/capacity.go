package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/heartbeats"
)

// maxCapacityAge returns the age of the newest heartbeat of a worker up to which the
// capacity that it states may be relied on. An order may take callTimeout, and the
// reading of a worker's clock may be as old. The age is never below that which
// heartbeats reach while nothing fails: a follower tells of them each heardInterval.
func (l Limits) maxCapacityAge() time.Duration {
	usual := l.HeartbeatInterval + heardInterval + callTimeout
	return max(l.CapacityGrace+l.HeartbeatInterval-2*callTimeout, usual)
}

// capacityKnown reports whether a worker that starts whatever it is told has stated
// lately that it has at least the recorded capacity. It may have stated another one
// since the last registration, or since this process began to lead.
func (l *loop) capacityKnown(w *worker, now time.Time) bool {
	if w.enforcesCapacity {
		return true
	}
	heartbeat, known := l.heard.NewestOf(w.reg.ID)
	if !known || heartbeat.Incarnation != w.reg.Incarnation {
		return false
	}
	if heartbeat.Capacity != nil && !heartbeat.Capacity.Fits(w.reg.Capacity) {
		return false
	}
	return now.Sub(sentAt(&heartbeat, w)) <= l.Limits.maxCapacityAge()
}

// sentAt returns when a heartbeat of a worker was sent, by the worker's clock if that
// is known. It was sent before it was known here.
func sentAt(h *heartbeats.Known, w *worker) time.Time {
	reading := w.lease.Reading()
	if h.ClockMS == 0 || reading.MS == 0 {
		return h.KnownAt
	}
	byClock := reading.At.Add(time.Duration(h.ClockMS-reading.MS) * time.Millisecond)
	if byClock.Before(h.KnownAt) {
		return byClock
	}
	return h.KnownAt
}
