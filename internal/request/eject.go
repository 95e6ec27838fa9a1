package request

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Parameters of outlier ejection.
const (
	// ejectBelow is the fraction of its pool's success rate below which a
	// worker is ejected. The limit is relative to the pool so that a failure
	// common to all workers ejects none.
	ejectBelow = 0.5
	// maxEjectedShare bounds the ejected fraction of a pool's workers.
	maxEjectedShare = 0.3
	// poolResultWeight is the weight of the newest result of a pool.
	poolResultWeight = 0.02
	// firstBackoff is the time from an ejection to the first probe. Each failed
	// probe doubles the time to the next one, up to maxBackoff.
	firstBackoff = time.Second
	maxBackoff   = 30 * time.Second
)

// mayEject reports whether one more worker may be ejected under maxEjectedShare.
func (p *pool) mayEject() bool {
	return p.workers > 1 && float64(p.ejected+1) <= max(1, maxEjectedShare*float64(p.workers))
}

// recordResult adds a result to the success rates of the worker and its pool,
// and ejects or restores the worker.
func (s *scheduler) recordResult(w *worker, success bool, now time.Time) {
	p := w.pool
	p.observe(success)
	if w.health == probing {
		s.recordProbeResult(w, success, now)
		return
	}
	w.observe(success)
	if w.health == healthy && w.usable && w.successRate < ejectBelow*p.successRate && p.mayEject() {
		p.ejected++
		w.backoff = firstBackoff
		s.scheduleProbe(w, now)
		s.recordEvent(timeline.Event{Kind: timeline.TargetEjected, VM: w.vm, Pool: p.name, Cause: "failed requests of late"})
	}
}

// recordProbeResult restores an ejected worker after a successful probe, or
// doubles its backoff after a failed one.
func (s *scheduler) recordProbeResult(w *worker, success bool, now time.Time) {
	if !success {
		w.backoff = min(2*w.backoff, maxBackoff)
		s.scheduleProbe(w, now)
		return
	}
	w.pool.ejected--
	w.health = healthy
	w.successRate = restoredSuccessRate
	s.recordEvent(timeline.Event{Kind: timeline.TargetRestored, VM: w.vm, Pool: w.pool.name, Cause: "a probe request succeeded"})
}

// scheduleProbe marks a worker as ejected until its next probe is due.
func (s *scheduler) scheduleProbe(w *worker, now time.Time) {
	w.health = ejected
	w.probeAt = now.Add(w.backoff)
	w.pool.probes.add(w)
}

// resetHealth clears the ejection and the success rate of a worker whose target
// was replaced or may get no work, because earlier results no longer apply.
func (s *scheduler) resetHealth(w *worker) {
	if w.health != healthy {
		w.pool.ejected--
		w.pool.probes.remove(w)
	}
	w.health = healthy
	w.successRate = 1
}

// startProbe returns an ejected worker whose probe is due, or nil. The caller
// must be able to retry the request on another worker if the probe fails.
func (p *pool) startProbe(service string, now time.Time) *worker {
	w := p.probes.due(now)
	if w == nil || !w.group.serves(service) || w.expired || w.inFlight >= w.slots {
		return nil
	}
	p.probes.remove(w)
	w.health = probing
	return w
}
