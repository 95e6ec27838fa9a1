package request

import (
	"sort"
	"time"

	"arbutusward.example/arbutusward/internal/connection/message"
)

// usage measures the usage of a service since the last report. The scheduler's
// lock guards it.
type usage struct {
	arrived, ran, refused, spilled uint64
	// busy is the number of slots in use, and busyTime its integral over time.
	busy     int
	busyTime time.Duration
	since    time.Time
	changed  time.Time
}

// addBusy changes the number of slots in use.
func (u *usage) addBusy(change int, now time.Time) {
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

// report returns the usage since the last report and resets it.
func (u *usage) report(now time.Time) message.ServiceUsage {
	u.advance(now)
	r := message.ServiceUsage{Arrived: u.arrived, Ran: u.ran, Refused: u.refused, Spilled: u.spilled}
	if interval := now.Sub(u.since); interval > 0 {
		r.BusySlots = u.busyTime.Seconds() / interval.Seconds()
	}
	*u = usage{busy: u.busy, since: now, changed: now}
	return r
}

// reportUsage returns the usage of each service since the previous call.
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

// countArrival counts a request that has arrived.
func (s *scheduler) countArrival(svc *service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc.usage.arrived++
}

// countOutcome counts the outcome of a request.
func (s *scheduler) countOutcome(svc *service, outcome Outcome) {
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
