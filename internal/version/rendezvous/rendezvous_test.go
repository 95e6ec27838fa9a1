package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func TestLossOfACandidateMovesOnlyItsKeys(t *testing.T) {
	candidates := []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"}
	const keys = 1000
	count := map[string]int{}
	for i := range keys {
		key := fmt.Sprint("w", i)
		chosen := Choose(key, candidates)
		count[chosen]++
		for _, lost := range candidates {
			left := slices.DeleteFunc(slices.Clone(candidates), func(c string) bool { return c == lost })
			if after := Choose(key, left); lost != chosen && after != chosen {
				t.Fatalf("%s moved from %s to %s when %s was lost", key, chosen, after, lost)
			}
		}
	}
	for _, candidate := range candidates {
		if n := count[candidate]; n < keys/len(candidates)*3/4 {
			t.Errorf("%s has %d of %d keys", candidate, n, keys)
		}
	}
	if got := Choose("w1", nil); got != "" {
		t.Errorf("chose %q of no candidates", got)
	}
}
