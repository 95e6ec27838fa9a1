package catalog

import (
	"sync"
	"time"
)

const (
	// orderSlack is the difference of arrival up to which requests count as
	// having come together; platforms grant 250 ms.
	orderSlack = 200 * time.Millisecond
	// orderVersions bounds the versions that are remembered.
	orderVersions = 8
)

// AnswerOrder keeps the answers of one process in the order of its requests:
// a request that waited, for a leader say, must not be answered from a newer
// configuration than one that came well after it and was answered before.
// It is safe for concurrent use.
type AnswerOrder struct {
	mu sync.Mutex
	// latest holds the latest arrival that was answered from each version.
	latest map[int64]time.Time
}

// Allow notes the answer from a version to a request that arrived at a time,
// or returns false if it must not be given.
func (o *AnswerOrder) Allow(arrived time.Time, version int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for older, at := range o.latest {
		if older < version && at.Sub(arrived) > orderSlack {
			return false
		}
	}
	if o.latest == nil {
		o.latest = map[int64]time.Time{}
	}
	if arrived.After(o.latest[version]) {
		o.latest[version] = arrived
	}
	if len(o.latest) > orderVersions {
		o.forgetOldest()
	}
	return true
}

func (o *AnswerOrder) forgetOldest() {
	oldest := int64(-1)
	for version := range o.latest {
		if oldest < 0 || version < oldest {
			oldest = version
		}
	}
	delete(o.latest, oldest)
}
