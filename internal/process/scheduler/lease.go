package scheduler

import "time"

// recordClock records the worker's clock from an answer.
func (w *worker) recordClock(clockMS int64, now time.Time) {
	if clockMS > 0 {
		w.clockMS, w.clockAt = clockMS, now
	}
}

// slowestClockMS returns what the worker's clock shows at least.
func (w *worker) slowestClockMS(now time.Time) int64 {
	elapsed := time.Duration(float64(now.Sub(w.clockAt)) * (1 - clockDrift))
	return w.clockMS + elapsed.Milliseconds()
}

// grantLease returns the end of a lease that starts now, on the worker's clock,
// and records that it may have been granted. It returns 0 while the clock is
// unknown.
func (w *worker) grantLease(now time.Time) int64 {
	if w.clockMS == 0 {
		return 0
	}
	until := w.slowestClockMS(now) + leaseTime.Milliseconds()
	w.leaseMS = max(w.leaseMS, until)
	return until
}

// maxInitialLease returns the latest end, on the worker's clock, of a lease
// that it may hold when it first answers this leader. It may be a lease of a
// former leader, which can grant no later ones any more, or a stray one, which
// was granted before this answer.
func (w *worker) maxInitialLease(longest time.Duration) int64 {
	own := w.clockMS + leaseTime.Milliseconds()
	if !w.mayHoldStrayLease() {
		return own
	}
	granted := min(w.clockMS, staleCallTime.Milliseconds())
	return max(own, granted+longest.Milliseconds())
}

// mayHoldStrayLease reports whether calls to an earlier incarnation with the
// worker's id may have granted it a lease. Such calls carry a time on the earlier
// incarnation's clock, which may be far ahead, so that only the worker's own
// limit bounds the lease.
func (w *worker) mayHoldStrayLease() bool { return w.reg.Restarted || w.registeredBefore }

// maxStrayLease returns the longest stray lease, from the start of the worker's
// incarnation; 0 if there is none.
func (w *worker) maxStrayLease(longest time.Duration) time.Duration {
	if !w.mayHoldStrayLease() {
		return 0
	}
	return staleCallTime + longest
}

// leasesExpired reports whether every lease that may have been granted has
// certainly expired, although the worker does not answer and its clock may be
// slow. Before the first contact, a lease may have been granted by a former
// leader, or by an order to an earlier incarnation that arrived at this one.
func (w *worker) leasesExpired(now time.Time, longest time.Duration) bool {
	if !w.knowsClock() {
		return now.Sub(w.knownSince) > w.boundWithoutClock(longest)
	}
	return w.slowestClockMS(now) > w.leaseMS
}

// knowsClock reports whether leases are counted on the worker's clock.
func (w *worker) knowsClock() bool { return w.contacted && w.clockMS != 0 }

// boundWithoutClock returns how long after knownSince leases may last while
// knowsClock is false.
func (w *worker) boundWithoutClock(longest time.Duration) time.Duration {
	return time.Duration(float64(max(inheritedLease, w.maxStrayLease(longest))) * (1 + clockDrift))
}

// lost reports whether the worker has neither answered nor sent a heartbeat for
// so long that it is considered lost.
func (w *worker) lost(now time.Time, longestLease time.Duration) bool {
	last := w.knownSince
	for _, at := range []time.Time{w.answeredAt, w.heartbeatAt} {
		if at.After(last) {
			last = at
		}
	}
	return w.unresponsive && now.Sub(last) > lostAfter && w.leasesExpired(now, longestLease)
}
