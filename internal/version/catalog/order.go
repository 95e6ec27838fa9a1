package catalog

import (
	"sync"
	"time"
)

const (
	// arrivalTolerance is the difference in arrival time up to which requests
	// count as concurrent. Platforms tolerate a difference of 250 ms.
	arrivalTolerance = 200 * time.Millisecond
	// maxVersions limits the number of versions that are remembered.
	maxVersions = 8
)

// AnswerOrder keeps the responses of one process consistent with the order of
// its requests. A request that had to wait, for a leader for example, must not
// be answered from a newer configuration than a request that arrived well after
// it but was answered earlier. AnswerOrder is safe for concurrent use.
type AnswerOrder struct {
	mu sync.Mutex
	// latest holds, for each version, the latest arrival time of a request that
	// was answered from it.
	latest map[int64]time.Time
}

// Allow reports whether a request with the given arrival time may be answered
// from the given version, and records the response if it may.
func (o *AnswerOrder) Allow(arrived time.Time, version int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for older, at := range o.latest {
		if older < version && at.Sub(arrived) > arrivalTolerance {
			return false
		}
	}
	if o.latest == nil {
		o.latest = map[int64]time.Time{}
	}
	if arrived.After(o.latest[version]) {
		o.latest[version] = arrived
	}
	if len(o.latest) > maxVersions {
		o.removeOldest()
	}
	return true
}

func (o *AnswerOrder) removeOldest() {
	oldest := int64(-1)
	for version := range o.latest {
		if oldest < 0 || version < oldest {
			oldest = version
		}
	}
	delete(o.latest, oldest)
}
