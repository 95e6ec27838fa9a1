package lease

import (
	"testing"
	"time"
)

const longest = 10 * time.Second

// TestStrayLeaseEndsTheLongestTimeAfterTheFirstContact guards against a lost worker whose tasks wait for leases that its refusal of late calls rules out, or start elsewhere before a stray lease has ended.
func TestStrayLeaseEndsTheLongestTimeAfterTheFirstContact(t *testing.T) {
	for name, c := range map[string]struct {
		clock    time.Duration
		idReused bool
		wanted   time.Duration
	}{
		"new":                   {100 * time.Millisecond, false, Duration + 100*time.Millisecond},
		"restarted":             {100 * time.Millisecond, true, longest + 100*time.Millisecond},
		"restarted, found late": {StaleCallTime + time.Second, true, StaleCallTime + longest},
		"restarted long ago":    {time.Hour, true, time.Hour + Duration},
	} {
		now := time.Now()
		b := NewBound(Origin{IDReused: c.idReused}, now)
		b.Record(c.clock.Milliseconds(), now)
		b.Contact(longest)
		if until := time.Duration(b.UntilMS()) * time.Millisecond; until != c.wanted {
			t.Errorf("%s: the lease ends at %s, expected %s", name, until, c.wanted)
		}
	}
}
