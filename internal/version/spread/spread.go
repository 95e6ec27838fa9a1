// Package spread places callers that are sent away at the same time, so that they do not
// return together.
package spread

import (
	"hash/fnv"
	"math"
	"time"
)

// Place returns a number from 0 to 1 that follows from an id.
func Place(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// FNV changes the high bits little for ids that differ at the end.
	return float64(h.Sum64()*0x9E3779B97F4A7C15>>11) / float64(math.MaxUint64>>11)
}

// Within returns the place of an id in a period.
func Within(id string, period time.Duration) time.Duration {
	return time.Duration(Place(id) * float64(period))
}
