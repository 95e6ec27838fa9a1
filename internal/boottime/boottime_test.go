package boottime

import (
	"testing"
	"time"
)

func TestClockAdvancesWithTime(t *testing.T) {
	const span = 20 * time.Millisecond
	before, known := Now()
	if !known {
		t.Fatal("the kernel has no such clock")
	}
	start := time.Now()
	time.Sleep(span)
	after, _ := Now()
	if limit := time.Since(start) + span; after-before < span || after-before > limit {
		t.Errorf("advanced by %s in %s", after-before, time.Since(start))
	}
}
