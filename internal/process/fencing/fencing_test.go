package fencing

import "testing"

func TestFencingTokensRiseWithTermAndGeneration(t *testing.T) {
	ascending := []Token{
		NewToken(1, 0), NewToken(1, 1), NewToken(1, maxGeneration), NewToken(2, 0),
		NewToken(1<<37-1, 0), NewToken(1<<37-1, maxGeneration),
	}
	for i := 1; i < len(ascending); i++ {
		if ascending[i] <= ascending[i-1] {
			t.Errorf("token %d is %d, after %d", i, ascending[i], ascending[i-1])
		}
	}
	if largest := uint64(ascending[len(ascending)-1]); float64(largest) != float64(1<<53-1) || largest >= 1<<53 {
		t.Errorf("the largest token %d does not fit a JSON number", largest)
	}
	if NewToken(1, maxGeneration+1) != NewToken(1, maxGeneration) {
		t.Error("a generation reaches into the term")
	}
}

// TestUnansweredCallRaisesTheTokenOnce guards against calls in flight together that use up the generations, and against a late call that the raised token does not cover.
func TestUnansweredCallRaisesTheTokenOnce(t *testing.T) {
	g := Generations{}
	first := NewToken(3, g.Next("w1"))
	raised := g.Raise("w1", first, first)
	if raised <= first {
		t.Errorf("token %d after an unanswered call with %d", raised, first)
	}
	if again := g.Raise("w1", raised, first); again != raised {
		t.Errorf("an older call without an answer raises %d to %d", raised, again)
	}
	if next := NewToken(3, g.Next("w1")); next <= raised {
		t.Errorf("the next incarnation is called with %d after %d", next, raised)
	}
}

// TestUnansweredCallsLeaveGenerationsToIncarnations guards against a worker whose next incarnations get no higher token since the former one fell silent too often.
func TestUnansweredCallsLeaveGenerationsToIncarnations(t *testing.T) {
	g := Generations{}
	token := NewToken(1, g.Next("w1"))
	for range 2 * maxGeneration {
		token = g.Raise("w1", token, token)
	}
	for range maxGeneration / 2 {
		next := NewToken(1, g.Next("w1"))
		if next <= token || next >= NewToken(2, 0) {
			t.Fatalf("token %d after %d", next, token)
		}
		token = next
	}
}
