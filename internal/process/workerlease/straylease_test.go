package workerlease

import (
	"testing"
	"time"
)

const longest = 10 * time.Second

// TestStrayLeaseEndsTheLongestTimeAfterTheFirstContact guards against a lost worker whose tasks wait for leases that its refusal of late calls rules out, or start elsewhere before a stray lease has ended.
func TestStrayLeaseEndsTheLongestTimeAfterTheFirstContact(t *testing.T) {
	// The clock of an incarnation begins at any value.
	for _, start := range []time.Duration{time.Millisecond, 4 * time.Minute, 3 * time.Hour} {
		for name, c := range map[string]struct {
			idReused        bool
			firstKnown, age time.Duration
			wantedFromClock time.Duration
		}{
			"new":                           {false, 50 * time.Millisecond, 100 * time.Millisecond, Duration},
			"restarted":                     {true, 50 * time.Millisecond, 100 * time.Millisecond, longest},
			"restarted, found late":         {true, time.Second, StaleCallTime + 2*time.Second, longest - time.Second},
			"restarted long ago":            {true, time.Second, time.Hour, Duration},
			"restarted, first found late":   {true, 40 * time.Minute, 40 * time.Minute, longest},
			"restarted, no reading is kept": {true, 0, time.Hour, longest},
		} {
			now := time.Now()
			origin := Origin{IDReused: c.idReused}
			if c.firstKnown > 0 {
				origin.FirstClockMS = (start + c.firstKnown).Milliseconds()
			}
			b := NewBound(origin, now)
			clock := start + c.age
			b.Record(clock.Milliseconds(), now)
			b.Contact(longest)
			if until := time.Duration(b.UntilMS()) * time.Millisecond; until != clock+c.wantedFromClock {
				t.Errorf("%s, clock from %s: the lease ends %s after the contact, expected %s", name, start, until-clock, c.wantedFromClock)
			}
		}
	}
}
