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
