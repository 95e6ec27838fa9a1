package scheduler

import "time"

const (
	// roundShare is the part of the time that rounds, with their looks for
	// workers to be asked, may take: the rest is for the log, the calls to
	// workers and the calls of entries, without which a round has nothing to
	// decide on.
	roundShare = 0.4
	// longestPause bounds the wait for the next round, so that one slow
	// round does not hold up those after it.
	longestPause = tickInterval
)

// roundPace spaces rounds out by what they cost: the more events come while a
// round is not due, the more of them the next one serves.
type roundPace struct {
	next time.Time
}

// ended notes the times of a round.
func (p *roundPace) ended(start, end time.Time) {
	cost := end.Sub(start)
	pause := time.Duration(float64(cost) * (1/roundShare - 1))
	p.next = end.Add(min(pause, longestPause))
}

// due says whether a round may begin, and otherwise in how long one may.
func (p *roundPace) due(now time.Time) (bool, time.Duration) {
	wait := p.next.Sub(now)
	return wait <= 0, wait
}
