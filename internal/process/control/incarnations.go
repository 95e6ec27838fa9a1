package control

import (
	"sync"
	"time"
)

// maxReportDelay limits how late a report of an earlier incarnation can
// arrive: a call ends with its connection, or within seconds.
const maxReportDelay = 15 * time.Second

// incarnations tracks which incarnations of each entry have been superseded
// by another one. A report of a superseded incarnation has arrived late and
// is ignored: its confirmations no longer bind the entry. It is safe for
// concurrent use.
type incarnations struct {
	mu      sync.Mutex
	current map[string]string
	// superseded holds, for each entry, the superseded incarnations and the
	// time at which each was superseded. They are dropped after maxReportDelay,
	// so that an incarnation that was superseded by mistake is accepted again.
	superseded map[string]map[string]time.Time
}

func newIncarnations() *incarnations {
	return &incarnations{current: map[string]string{}, superseded: map[string]map[string]time.Time{}}
}

// observe records a report of an incarnation. It returns false if another
// incarnation has reported after it.
func (r *incarnations) observe(entry, incarnation string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ended := r.superseded[entry][incarnation]; ended && now.Sub(at) < maxReportDelay {
		return false
	}
	last, known := r.current[entry]
	r.current[entry] = incarnation
	if known && last != incarnation {
		r.supersede(entry, last, now)
	}
	return true
}

// supersede records that an incarnation was superseded and drops those that were
// superseded more than maxReportDelay ago.
func (r *incarnations) supersede(entry, incarnation string, now time.Time) {
	kept := map[string]time.Time{incarnation: now}
	for earlier, at := range r.superseded[entry] {
		if now.Sub(at) < maxReportDelay && earlier != r.current[entry] {
			kept[earlier] = at
		}
	}
	r.superseded[entry] = kept
}
