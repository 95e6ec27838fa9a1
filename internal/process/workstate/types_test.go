package workstate

import "testing"

func TestHeartbeatsAreOrderedByIncarnationFirst(t *testing.T) {
	known := Worker{ID: "w1", Incarnation: 5, Sequence: 7}
	for _, c := range []struct {
		incarnation, sequence int64
		compared              int
		replaces              bool
	}{
		{5, 7, 0, true},
		{5, 8, 1, true},
		{5, 6, -1, false},
		{6, 0, 1, true},
		{4, 9, -1, false},
	} {
		w := Worker{ID: "w1", Incarnation: c.incarnation, Sequence: c.sequence}
		if compared := w.Order().Compare(known.Order()); compared != c.compared {
			t.Errorf("%d.%d: compared %d, expected %d", c.incarnation, c.sequence, compared, c.compared)
		}
		if replaces := w.Replaces(&known); replaces != c.replaces {
			t.Errorf("%d.%d: replaces %v, expected %v", c.incarnation, c.sequence, replaces, c.replaces)
		}
	}
}
