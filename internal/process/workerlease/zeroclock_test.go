package workerlease

import (
	"testing"
	"time"
)

// TestFirstContactWithoutAReadingIsMadeUpFor guards against a second run beside a stray lease: the clock of the first answer was 0, and the bound then counts the leader's own lease only.
func TestFirstContactWithoutAReadingIsMadeUpFor(t *testing.T) {
	now := time.Now()
	b := NewBound(Origin{IDReused: true}, now)
	b.Record(0, now)
	b.Contact(longest)
	now = now.Add(time.Second)
	b.Record(1000, now)
	b.Grant(now)
	if b.Expired(now.Add(longest/2), longest) {
		t.Errorf("the bound ends at %d", b.UntilMS())
	}
}
