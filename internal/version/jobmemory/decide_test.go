package jobmemory

import "testing"

// TestLargeJobsLeaveMemoryToSmallOnes guards against a few callers with large jobs who shut all others out.
func TestLargeJobsLeaveMemoryToSmallOnes(t *testing.T) {
	limit := Limit(280)
	large, small := int64(1*MiB), limit/smallShare
	taken := int64(0)
	for Decide(&Use{Limit: limit, Taken: taken, Need: large}).Refused == "" {
		taken += large
	}
	if taken > limit*largeNumerator/largeDenominator || taken < limit/2 {
		t.Errorf("large jobs take %d of %d", taken, limit)
	}
	count := 0
	for Decide(&Use{Limit: limit, Taken: taken, Need: small}).Refused == "" {
		taken, count = taken+small, count+1
	}
	if count < smallShare/8 || taken > limit {
		t.Errorf("%d small jobs are accepted beside the large ones, %d of %d bytes are taken", count, taken, limit)
	}
}

// TestAccountKeepsToItsShareOnceMemoryIsShort guards against an account that takes the memory of all others, and against one that is held to its share while there is enough.
func TestAccountKeepsToItsShareOnceMemoryIsShort(t *testing.T) {
	const limit = 100 * MiB
	for _, c := range []struct {
		taken, ofAccount int64
		share            float64
		want             Reason
	}{
		{10 * MiB, 10 * MiB, 0.1, ""},
		{60 * MiB, 10 * MiB, 0.1, AboveShare},
		{60 * MiB, 8 * MiB, 0.1, ""},
		{60 * MiB, 0, 0, ""},
		{74*MiB + 1, 0, 0.9, Full},
	} {
		if got := Decide(&Use{Limit: limit, Taken: c.taken, Need: MiB, OfAccount: c.ofAccount, Share: c.share}).Refused; got != c.want {
			t.Errorf("%+v: refused %q", c, got)
		}
	}
}

// TestJobThatNeverFitsIsToldSo guards against a caller that tries again without an end.
func TestJobThatNeverFitsIsToldSo(t *testing.T) {
	if got := Decide(&Use{Limit: 100 * MiB, Need: 76 * MiB}).Refused; got != TooLarge {
		t.Errorf("refused %q", got)
	}
}
