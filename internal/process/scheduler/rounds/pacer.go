package rounds

import "time"

const (
	// roundShare is the maximum share of time that rounds may take, including
	// the search for workers to watch. The rest is left to the replicated log,
	// the calls to workers and the calls of entries, which provide the input of
	// the next round and wait for the processor while a round runs.
	roundShare = 0.3
	// minInterval is the minimum time between the starts of two rounds. Each
	// commit costs a message to every member, however little it holds, and takes
	// longer than this on the platform's disks.
	minInterval = 10 * time.Millisecond
	// maxPause limits the pause after a round. What a round costs grows with what has
	// happened since the one before, so that longer pauses only make rounds longer.
	maxPause = 40 * time.Millisecond
)

// Pacer delays each round in proportion to the duration of the previous
// one. The events that arrive in between are served by a single round. The zero
// value lets the first round start at once.
type Pacer struct {
	next time.Time
}

// Record records the start and end of a round.
func (p *Pacer) Record(start, end time.Time) {
	duration := end.Sub(start)
	pause := time.Duration(float64(duration) * (1/roundShare - 1))
	p.next = end.Add(min(pause, maxPause))
	if earliest := start.Add(minInterval); p.next.Before(earliest) {
		p.next = earliest
	}
}

// Due reports whether a round may start, and otherwise how long to wait for it.
func (p *Pacer) Due(now time.Time) (bool, time.Duration) {
	wait := p.next.Sub(now)
	return wait <= 0, wait
}
