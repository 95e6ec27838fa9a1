package request

import (
	"sort"
	"time"

	"arbutusward.example/arbutusward/internal/connection/message"
)

// usage counts the use of a service since the last report. The scheduler's
// lock guards it.
type usage struct {
	arrived, ran, refused, spilled uint64
	// busy is the number of slots in use; busyTime sums it over time.
	busy     int
	busyTime time.Duration
	since    time.Time
	changed  time.Time
}

// busyChanged counts a slot taken or given back.
func (u *usage) busyChanged(change int, now time.Time) {
	u.advance(now)
	u.busy += change
}

func (u *usage) advance(now time.Time) {
	if u.changed.IsZero() {
		u.since, u.changed = now, now
	}
	u.busyTime += time.Duration(u.busy) * now.Sub(u.changed)
	u.changed = now
}

// report returns the counts and starts new ones.
func (u *usage) report(now time.Time) message.ServiceUsage {
	u.advance(now)
	r := message.ServiceUsage{Arrived: u.arrived, Ran: u.ran, Refused: u.refused, Spilled: u.spilled}
	if interval := now.Sub(u.since); interval > 0 {
		r.BusySlots = u.busyTime.Seconds() / interval.Seconds()
	}
	*u = usage{busy: u.busy, since: now, changed: now}
	return r
}

// reportUsage returns the use of each service since the last call.
func (s *scheduler) reportUsage() []message.ServiceUsage {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []message.ServiceUsage
	for name, svc := range s.services {
		r := svc.usage.report(now)
		r.Service, r.Queued = name, svc.queue.length
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Service < all[j].Service })
	return all
}

// arrived counts a request.
func (s *scheduler) arrived(svc *service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc.usage.arrived++
}

// ended counts a final answer.
func (s *scheduler) ended(svc *service, outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch outcome {
	case Ran:
		svc.usage.ran++
		svc.budget.earn()
	case NotRun:
		svc.usage.refused++
	}
}
