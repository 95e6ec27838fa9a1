package driver

import (
	"log/slog"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/process/replica"
)

// Times from which on a step is logged, and the interval between two lines of a
// kind.
const (
	slowSync         = 250 * time.Millisecond
	slowCommit       = 500 * time.Millisecond
	slowTick         = 250 * time.Millisecond
	slowLineInterval = time.Second
)

// delays collects the delays of a replica. It is safe for concurrent use.
type delays struct {
	mu    sync.Mutex
	taken replica.Delays
}

// record adds a time to one of the delays.
func (d *delays) record(delay *replica.Delay, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delay.Add(took)
}

// take returns the delays since the last call.
func (d *delays) take() replica.Delays {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := d.taken
	d.taken = replica.Delays{}
	return taken
}

// slowLine logs slow steps, at most one line per slowLineInterval. It is not safe
// for concurrent use.
type slowLine struct {
	log      *slog.Logger
	loggedAt time.Time
	// skipped counts the lines that were left out since the last one.
	skipped int
}

func (s *slowLine) warn(message string, args ...any) {
	if time.Since(s.loggedAt) < slowLineInterval {
		s.skipped++
		return
	}
	s.log.Warn(message, append(args, "skipped", s.skipped)...)
	s.loggedAt, s.skipped = time.Now(), 0
}

// lateness measures how late the loop is for its ticks.
type lateness struct {
	delays *delays
	slow   slowLine
	// tickedAt is when the loop handled the last tick.
	tickedAt time.Time
	// total is the sum of all delays of ticks until then.
	total time.Duration
	// longestPass is the longest pass since the last tick.
	longestPass time.Duration
}

func (s *lateness) recordPass(took time.Duration) {
	s.delays.record(&s.delays.taken.Pass, took)
	s.longestPass = max(s.longestPass, took)
}

func (s *lateness) recordTick(now time.Time) {
	late := s.since(now)
	s.total += late
	lateSeconds.Update(late.Seconds())
	s.delays.record(&s.delays.taken.Late, late)
	if late >= slowTick {
		s.slow.warn("replica loop late", "late_ms", late.Milliseconds(), "longest_pass_ms", s.longestPass.Milliseconds())
	}
	s.tickedAt, s.longestPass = now, 0
}

// since returns by how much the next tick is late by now.
func (s *lateness) since(now time.Time) time.Duration {
	return max(0, now.Sub(s.tickedAt)-tickInterval)
}

// upTo returns the sum of all delays up to now. Its growth over a period is the
// time for which the loop did not run in it.
func (s *lateness) upTo(now time.Time) time.Duration { return s.total + s.since(now) }
