package workerlease

import (
	"testing"
	"time"
)

// TestAnswerOfAnotherIncarnationIsToldByItsClock guards against a bound that is counted on the clock of two incarnations, which ends too early or hours too late.
func TestAnswerOfAnotherIncarnationIsToldByItsClock(t *testing.T) {
	const delay, age = time.Second, 10 * time.Second
	now := time.Now()
	b := NewBound(Origin{}, now)
	if !b.Continues(7, now, delay) {
		t.Error("a first reading does not continue")
	}
	b.Record(1_000_000, now)
	for clock, own := range map[int64]bool{
		1_010_000: true, 1_009_800: true, 1_011_000: true, 1_008_800: true, 0: true,
		1_011_001: false, 1_008_799: false, 10_000: false, 9_000_000: false,
	} {
		if b.Continues(clock, now.Add(age), delay) != own {
			t.Errorf("%d after 1,000,000 and %s: own %t", clock, age, !own)
		}
	}
}

// TestBoundCoversALeaseOfTheIncarnationThatAnswers guards against a second run while an incarnation that the leader does not know executes the first one under the longest lease.
func TestBoundCoversALeaseOfTheIncarnationThatAnswers(t *testing.T) {
	now := time.Now()
	b := NewBound(Origin{}, now)
	b.Record(1_000_000, now)
	b.Contact(longest)
	b.CoverOther(now, longest)
	if b.Expired(now.Add(longest), longest) || !b.Expired(now.Add(longest+longest/10), longest) {
		t.Errorf("the bound ends at %d", b.UntilMS())
	}
}
