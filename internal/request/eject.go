package request

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Rules of ejection.
const (
	// ejectBelow ejects a worker whose success share is below this part of
	// its pool's, so that a failure common to all ejects none.
	ejectBelow = 0.5
	// maxEjectedShare bounds the ejected part of a pool's workers.
	maxEjectedShare = 0.3
	// poolSuccessWeight is the weight of the newest result of a pool.
	poolSuccessWeight = 0.02
	firstBackoff      = time.Second
	maxBackoff        = 30 * time.Second
)

// mayEject says whether the cap leaves room for one more ejected worker.
func (p *pool) mayEject() bool {
	return p.workers > 1 && float64(p.ejected+1) <= max(1, maxEjectedShare*float64(p.workers))
}

// judge counts a result and ejects or restores the worker.
func (s *scheduler) judge(w *worker, success bool, now time.Time) {
	p := w.pool
	p.observe(success)
	if w.health == probing {
		s.judgeProbe(w, success, now)
		return
	}
	w.observe(success)
	if w.health == healthy && w.usable && w.success < ejectBelow*p.success && p.mayEject() {
		p.ejected++
		w.backoff = firstBackoff
		s.awaitProbe(w, now)
		s.record(timeline.Event{Kind: timeline.TargetEjected, VM: w.vm, Pool: p.name, Cause: "failed requests of late"})
	}
}

// judgeProbe decides on the return of an ejected worker.
func (s *scheduler) judgeProbe(w *worker, success bool, now time.Time) {
	if !success {
		w.backoff = min(2*w.backoff, maxBackoff)
		s.awaitProbe(w, now)
		return
	}
	w.pool.ejected--
	w.health = healthy
	w.success = restoredSuccess
	s.record(timeline.Event{Kind: timeline.TargetRestored, VM: w.vm, Pool: w.pool.name, Cause: "a probe request succeeded"})
}

// awaitProbe keeps a worker from work until its probe is due.
func (s *scheduler) awaitProbe(w *worker, now time.Time) {
	w.health = ejected
	w.probeAt = now.Add(w.backoff)
	w.pool.probes.add(w)
}

// forgive takes a worker back whose target was replaced or may get no work:
// what was seen of it no longer holds.
func (s *scheduler) forgive(w *worker) {
	if w.health != healthy {
		w.pool.ejected--
		w.pool.probes.remove(w)
	}
	w.health = healthy
	w.success = 1
}

// takeProbe returns an ejected worker whose probe is due, for a request
// that may be repeated elsewhere if the probe fails.
func (p *pool) takeProbe(service string, now time.Time) *worker {
	w := p.probes.due(now)
	if w == nil || !w.group.serves(service) || w.expired || w.inFlight >= w.slots {
		return nil
	}
	p.probes.remove(w)
	w.health = probing
	return w
}
