package workerlease

import (
	"testing"
	"time"
)

// TestBoundOfAnotherIncarnationIsNotLoggedAsOwn guards against a log that names this leader's own lease of 4 s as what a run waited 10 s for.
func TestBoundOfAnotherIncarnationIsNotLoggedAsOwn(t *testing.T) {
	now := time.Now()
	b := NewBound(Origin{}, now)
	b.Record(1_000_000, now)
	b.Contact(longest)
	b.Grant(now)
	b.CoverOther(now, longest)
	if basis := b.Basis(longest); basis == Own {
		t.Errorf("a bound of %d ms after the reading has the basis %s", b.UntilMS()-b.Reading().MS, basis)
	}
}
