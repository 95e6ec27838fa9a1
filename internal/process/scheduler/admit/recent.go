package admit

import "time"

// recent is a bounded set of strings that were added a moment ago. The zero value is
// empty.
type recent struct {
	at map[string]time.Time
	// order lists the strings in the order in which they were added.
	order []string
}

// has reports whether a string was added less than memory ago.
func (r *recent) has(s string, now time.Time) bool {
	at, known := r.at[s]
	return known && now.Sub(at) < memory
}

// add adds a string, and removes those that are too old or too many.
func (r *recent) add(s string, now time.Time) {
	if r.at == nil {
		r.at = map[string]time.Time{}
	}
	if _, known := r.at[s]; known {
		return
	}
	for len(r.order) > 0 && (len(r.order) >= maxRemembered || !r.has(r.order[0], now)) {
		delete(r.at, r.order[0])
		r.order = r.order[1:]
	}
	r.at[s] = now
	r.order = append(r.order, s)
}
