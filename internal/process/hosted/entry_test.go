package hosted

import (
	"testing"
	"time"
)

const checkInterval = time.Second

// outage is a time without a leader from the view of one entry.
type outage struct {
	// lostAfter is when the entry notices, and endsAfter when it finds a leader.
	lostAfter, endsAfter time.Duration
}

// removedAfter returns when the platform stops sending clients to the entry, on the
// second failed check in a row, or 0 if it does not. The first check comes at a phase.
func (o outage) removedAfter(phase time.Duration) time.Duration {
	failures := 0
	for at := phase; at < o.endsAfter; at += checkInterval {
		if reachesControl(at < o.lostAfter, at) {
			failures = 0
			continue
		}
		if failures++; failures == 2 {
			return at
		}
	}
	return 0
}

// latestRemoval returns the longest time until the removal over all phases of the
// checks, and whether each of them leads to one.
func (o outage) latestRemoval() (latest time.Duration, always bool) {
	always = true
	for phase := time.Duration(0); phase < checkInterval; phase += 10 * time.Millisecond {
		after := o.removedAfter(phase)
		latest = max(latest, after)
		always = always && after > 0
	}
	return latest, always
}

func TestCallersOfAZoneThatIsCutOffAreSentElsewhereSoon(t *testing.T) {
	for _, lostAfter := range []time.Duration{500 * time.Millisecond, 1250 * time.Millisecond} {
		after, always := outage{lostAfter, time.Minute}.latestRemoval()
		// The checks alone take up to two intervals.
		if limit := max(lostAfter, 600*time.Millisecond) + 2*checkInterval; !always || after > limit {
			t.Errorf("loss noticed after %s: removed after %s, expected at most %s", lostAfter, after, limit)
		}
	}
}

func TestElectionDoesNotTakeAnEntryFromItsCallers(t *testing.T) {
	for _, endsAfter := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond} {
		if after, _ := (outage{500 * time.Millisecond, endsAfter}).latestRemoval(); after > 0 {
			t.Errorf("an outage of %s removes an entry after %s", endsAfter, after)
		}
	}
}
