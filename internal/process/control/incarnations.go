package control

import (
	"sync"
	"time"
)

// latestReport bounds how late a report of an ended run can come: a call
// ends with its connection, or within seconds.
const latestReport = 15 * time.Second

// entryRuns remembers which runs of each entry have been followed by
// another. A report of such a run came late and says nothing: what it
// confirms no longer binds the entry. It is safe for concurrent use.
type entryRuns struct {
	mu      sync.Mutex
	current map[string]string
	// ended maps the runs of each entry to when they were followed. They
	// are forgotten after latestReport, so that a run that was taken for an
	// ended one is heard again.
	ended map[string]map[string]time.Time
}

func newEntryRuns() *entryRuns {
	return &entryRuns{current: map[string]string{}, ended: map[string]map[string]time.Time{}}
}

// note stores that a run of an entry was heard. It returns false if another
// run was heard after it.
func (r *entryRuns) note(entry, incarnation string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, followed := r.ended[entry][incarnation]; followed && now.Sub(at) < latestReport {
		return false
	}
	last, known := r.current[entry]
	r.current[entry] = incarnation
	if known && last != incarnation {
		r.end(entry, last, now)
	}
	return true
}

// end notes that a run was followed and forgets those of long ago.
func (r *entryRuns) end(entry, incarnation string, now time.Time) {
	kept := map[string]time.Time{incarnation: now}
	for earlier, at := range r.ended[entry] {
		if now.Sub(at) < latestReport && earlier != r.current[entry] {
			kept[earlier] = at
		}
	}
	r.ended[entry] = kept
}
