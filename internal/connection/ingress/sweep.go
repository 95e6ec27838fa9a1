package ingress

import (
	"context"
	"time"
)

const (
	// sweepInterval is the time between two checks of the timeouts.
	sweepInterval = 250 * time.Millisecond
	// reportInterval is the time between two log lines about refusals.
	reportInterval = time.Second
	// bodyStallTimeout bounds the time without a byte of a body, bodyTimeout the
	// time of the whole body.
	bodyStallTimeout = 10 * time.Second
	bodyTimeout      = 30 * time.Second
	// discardTimeout bounds how long the rest of a body is discarded.
	discardTimeout = 2 * time.Second
)

// Run closes connections that exceed a timeout and reports what was refused,
// until the context ends.
func (g *Gate) Run(ctx context.Context) {
	sweep, report := time.NewTicker(sweepInterval), time.NewTicker(reportInterval)
	defer sweep.Stop()
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			g.closeOverdue()
		case <-report.C:
			g.report()
		}
	}
}

// closeOverdue closes the connections that exceed a timeout.
func (g *Gate) closeOverdue() {
	limits := g.limits.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for c := range g.conns {
		if why := c.overdue(now, limits); why != "" && !c.evicted {
			g.evict(c, why)
		}
	}
}

// overdue returns the timeout that a connection exceeds, or "".
func (c *conn) overdue(now time.Time, l *Limits) reason {
	inPhase := now.Sub(c.since)
	switch {
	case c.phase == idle && inPhase > l.IdleTimeout:
		return reasonIdle
	case c.phase == head && inPhase > l.HeaderTimeout:
		return reasonHeadTime
	case c.phase == discarding && inPhase > discardTimeout:
		return reasonBodyTime
	case c.phase == body && (inPhase > bodyTimeout || now.Sub(c.last) > bodyStallTimeout):
		return reasonBodyTime
	}
	return ""
}

// report logs what was refused since the last report.
func (g *Gate) report() {
	g.mu.Lock()
	counts := g.tally
	g.tally = tally{}
	open, held := len(g.conns), g.held
	g.mu.Unlock()
	// The end of idle connections is part of normal operation.
	delete(counts, tallyKey{"evicted", reasonIdle})
	if len(counts) == 0 {
		return
	}
	attributes := []any{"connections", open, "held_bytes", held}
	for key, count := range counts {
		attributes = append(attributes, key.outcome+"_"+string(key.why), count)
	}
	g.log.Warn("connections or requests refused", attributes...)
}
