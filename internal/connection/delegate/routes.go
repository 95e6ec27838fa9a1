package delegate

import (
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/version/rendezvous"
)

const (
	// routeAge is how long a worker keeps its delegate before the choice is
	// made again, so that a delegate that came back gets its share.
	routeAge = 5 * time.Second
	// routeIdle is how long a worker that is not called keeps its route. Each
	// worker of a leader is called every second.
	routeIdle = 30 * time.Second
)

// routes assigns workers, by address, to delegates or to direct calls. In a
// fleet of at most directWorkers workers all calls are direct; in a larger one
// none is, as long as there are delegates. It is not safe for concurrent use.
type routes struct {
	directWorkers int
	assigned      map[string]*route
	prunedAt      time.Time
}

// route is the choice for one worker.
type route struct {
	// delegate is "" if the worker is called directly.
	delegate          string
	decidedAt, usedAt time.Time
}

func newRoutes(directWorkers int) routes {
	return routes{directWorkers: directWorkers, assigned: map[string]*route{}}
}

// choose returns the delegate of a worker, or "" for direct calls. The function
// usable returns the delegates to choose from; if there is none, the call is
// direct.
func (t *routes) choose(address string, now time.Time, usable func() []string) string {
	t.prune(now)
	r := t.assigned[address]
	if r == nil {
		r = &route{}
		t.assigned[address] = r
	}
	r.usedAt = now
	if len(t.assigned) <= t.directWorkers {
		r.delegate = ""
		return ""
	}
	delegates := usable()
	if len(delegates) == 0 {
		r.delegate = ""
		return ""
	}
	if now.Sub(r.decidedAt) >= routeAge || !slices.Contains(delegates, r.delegate) {
		r.delegate, r.decidedAt = rendezvous.Choose(address, delegates), now
	}
	return r.delegate
}

// forget removes the route of a worker and returns its delegate.
func (t *routes) forget(address string) string {
	r := t.assigned[address]
	if r == nil {
		return ""
	}
	delete(t.assigned, address)
	return r.delegate
}

// prune periodically removes the routes of workers that are no longer called.
func (t *routes) prune(now time.Time) {
	if now.Sub(t.prunedAt) < routeIdle {
		return
	}
	t.prunedAt = now
	for address, r := range t.assigned {
		if now.Sub(r.usedAt) > routeIdle {
			delete(t.assigned, address)
		}
	}
}
