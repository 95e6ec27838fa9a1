package rounds

import (
	"testing"
	"time"
)

// shareOfMessages is the share of time that a leader of a large fleet needs for
// its log and calls, whose cost is per message.
const shareOfMessages = 0.6

// TestRoundsTakeALimitedShareOfTime simulates an event every millisecond with
// rounds of several durations. Rounds must not take more than their share of
// time, and no event may wait longer than one round and its pause.
func TestRoundsTakeALimitedShareOfTime(t *testing.T) {
	for _, duration := range []time.Duration{100 * time.Microsecond, 3 * time.Millisecond, 12 * time.Millisecond} {
		var pacer Pacer
		var busy, longest time.Duration
		start := time.Unix(0, 0)
		now, waitingSince := start, start
		for now.Before(start.Add(10 * time.Second)) {
			if due, wait := pacer.Due(now); !due {
				now = now.Add(wait)
			}
			longest = max(longest, now.Sub(waitingSince))
			pacer.Record(now, now.Add(duration))
			busy += duration
			now = now.Add(duration)
			waitingSince = now
			now = now.Add(time.Millisecond)
		}
		share := busy.Seconds() / now.Sub(start).Seconds()
		if share > roundShare*1.01 || share > 1-shareOfMessages {
			t.Errorf("rounds of %s take %.2f of the time", duration, share)
		}
		if limit := max(minInterval, time.Duration(float64(duration)/roundShare)) + time.Millisecond; longest > limit {
			t.Errorf("an event waited %s with rounds of %s, limit %s", longest, duration, limit)
		}
	}
}

func TestSlowRoundDelaysTheNextForALimitedTime(t *testing.T) {
	var pacer Pacer
	start := time.Unix(0, 0)
	pacer.Record(start, start.Add(time.Second))
	if due, wait := pacer.Due(start.Add(time.Second + maxPause)); !due {
		t.Errorf("the next round waits %s more", wait)
	}
}

// TestRoundsOfATurnDoNotHoldUpItsRuns guards against a leader that makes rounds rare because each of them has many runs to decide on, so that all of them wait.
func TestRoundsOfATurnDoNotHoldUpItsRuns(t *testing.T) {
	const (
		// An empty round takes base, and each start or end adds perEvent.
		base, perEvent = 6 * time.Millisecond, 30 * time.Microsecond
		eventsPerMS    = 10
		// Half of the tasks are to start within 60 ms of their job, of which a
		// commit takes 25.
		halfWithin = 35 * time.Millisecond
	)
	var pacer Pacer
	now := time.Unix(0, 0)
	last, longest := now, time.Duration(0)
	for range 100 {
		if due, wait := pacer.Due(now); !due {
			now = now.Add(wait)
		}
		interval := now.Sub(last)
		longest = max(longest, interval)
		end := now.Add(base + perEvent*time.Duration(eventsPerMS*interval.Milliseconds()))
		pacer.Record(now, end)
		last, now = now, end
	}
	if longest/2 > halfWithin {
		t.Errorf("rounds are %s apart, so that half of the events wait longer than %s", longest, longest/2)
	}
}
