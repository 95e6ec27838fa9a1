package entry

import "testing"

// TestEntryWhoseClockIsSetBackFindsThatItIsCutOff guards against an entry that asks no peer for newer views until its clock has caught up: the time of the last watch is compared with the wall clock.
func TestEntryWhoseClockIsSetBackFindsThatItIsCutOff(t *testing.T) {
	var f Follower
	if !f.CutOff(lagLimit) {
		t.Error("not cut off before the first watch")
	}
	f.recordWatch()
	if f.CutOff(lagLimit) {
		t.Error("cut off just after a watch")
	}
	if at := f.watchedAt.Load(); *at == at.Round(0) {
		t.Errorf("%s has no reading of the monotonic clock", at)
	}
}
