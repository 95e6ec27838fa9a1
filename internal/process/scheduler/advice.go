package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const (
	// adviceWorkers is the number of workers that one call asks about; a
	// job's objective counts one call about 30 a step.
	adviceWorkers = 30
	// adviceCalls bounds the calls in flight: the adviser serves one after
	// the other, and the most urgent step must not wait behind many.
	adviceCalls = 4
	// adviceSlack is added to the time that a call takes.
	adviceSlack = time.Second
	// adviceRetry is the pause after a call that failed.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is left of a ticket's validity when an order leaves.
	ticketMargin = 500 * time.Millisecond
)

// ticket is an adviser's leave to run a step on one life of a worker.
type ticket struct {
	text  string
	born  int64
	until time.Time
}

// advice is what the adviser said about one step.
type advice struct {
	tickets map[string]ticket
	// asked holds the workers that it was asked about, and their life. Who
	// was refused once is never eligible.
	asked   map[string]int64
	calling bool
	// pausedUntil keeps further calls away.
	pausedUntil time.Time
}

// advisedState is what the leader knows from the adviser.
type advisedState struct {
	steps map[stepKey]*advice
	calls int
}

func (a *advisedState) of(key stepKey) *advice {
	known := a.steps[key]
	if known == nil {
		known = &advice{tickets: map[string]ticket{}, asked: map[string]int64{}}
		a.steps[key] = known
	}
	return known
}

// planAdvice bounds the groups of queues with advice to the workers that
// have tickets, and asks for more where these have no room.
func (l *loop) planAdvice(v *workstate.View, u *usage, groups []*placement.Group, now time.Time) {
	if l.Adviser == nil {
		return
	}
	seen := map[stepKey]bool{}
	slices.SortStableFunc(groups, func(a, b *placement.Group) int { return cmp.Compare(a.Rank, b.Rank) })
	for _, g := range groups {
		queue := v.Queue(v.Job(g.Job).Queue)
		if queue == nil || queue.Advice == nil {
			continue
		}
		key := stepKey{g.Job, g.Occurrence, g.Step}
		seen[key] = true
		known := l.advised.of(key)
		g.Restricted = true
		g.Allowed = l.validTickets(known, now)
		if l.roomFor(u, g, now) < len(g.Indexes) {
			l.askAdviser(u, g, known, queue.Advice, now)
		}
	}
	for key, known := range l.advised.steps {
		if !seen[key] && !known.calling && len(known.tickets) == 0 {
			delete(l.advised.steps, key)
		}
	}
}

// validTickets returns the workers with a ticket that lasts.
func (l *loop) validTickets(a *advice, now time.Time) map[string]bool {
	allowed := map[string]bool{}
	for id, t := range a.tickets {
		w := l.workers[id]
		if w == nil || w.reg.Incarnation != t.born || now.After(t.until) {
			// The answer stands, but the ticket must be fetched again.
			delete(a.tickets, id)
			delete(a.asked, id)
			continue
		}
		allowed[id] = true
	}
	return allowed
}

// roomFor counts the tasks of a group that find room on allowed workers.
func (l *loop) roomFor(u *usage, g *placement.Group, now time.Time) int {
	count := 0
	for id := range g.Allowed {
		w := l.workers[id]
		if !w.usable(now) {
			continue
		}
		free := w.reg.Capacity.Sub(u.taken[id])
		for range g.Indexes {
			if !free.Fits(g.Charge) {
				break
			}
			free = free.Sub(g.Charge)
			count++
		}
	}
	return count
}

// askAdviser asks about the workers with the most room that were not asked
// about yet.
func (l *loop) askAdviser(u *usage, g *placement.Group, known *advice, terms *catalog.Advice, now time.Time) {
	if known.calling || now.Before(known.pausedUntil) || l.advised.calls >= adviceCalls {
		return
	}
	var candidates []*worker
	for id, w := range l.workers {
		if born, asked := known.asked[id]; w.reg.Service == g.Service && w.usable(now) && (!asked || born != w.reg.Incarnation) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(u.taken[a.reg.ID].MilliCPU, u.taken[b.reg.ID].MilliCPU), cmp.Compare(a.reg.ID, b.reg.ID))
	})
	candidates = candidates[:min(len(candidates), adviceWorkers)]
	l.callAdviser(stepKey{g.Job, g.Occurrence, g.Step}, known, candidates, terms)
}

func (l *loop) callAdviser(key stepKey, known *advice, about []*worker, terms *catalog.Advice) {
	known.calling = true
	l.advised.calls++
	ids, lives := make([]string, len(about)), map[string]int64{}
	for i, w := range about {
		ids[i] = w.reg.ID
		lives[w.reg.ID] = w.reg.Incarnation
	}
	// Calls in flight are served one after the other.
	limit := adviceCalls*(terms.Decide+time.Duration(len(ids))*terms.PerWorker) + adviceSlack
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, limit)
		defer cancel()
		asked := time.Now()
		tickets, err := l.Adviser.Advise(ctx, fmt.Sprintf("%s.%d.%d", key.job, key.occurrence, key.step), ids)
		l.post(func(l *loop) { l.adviceGiven(key, known, lives, tickets, terms, asked, err) })
	}()
}

// adviceGiven takes the adviser's answer.
func (l *loop) adviceGiven(key stepKey, known *advice, lives map[string]int64, tickets map[string]string, terms *catalog.Advice, asked time.Time, err error) {
	now := time.Now()
	known.calling = false
	l.advised.calls--
	l.dirty = true
	if err != nil {
		known.pausedUntil = now.Add(adviceRetry)
		l.Log.Warn("no advice", "job", key.job, "step", key.step, "workers", len(lives), "error", err.Error())
		return
	}
	l.Log.Info("advice given", "job", key.job, "step", key.step, "workers", len(lives), "eligible", len(tickets), "took_ms", now.Sub(asked).Milliseconds())
	for id, born := range lives {
		known.asked[id] = born
		if text, eligible := tickets[id]; eligible {
			known.tickets[id] = ticket{text: text, born: born, until: asked.Add(terms.Validity - ticketMargin)}
		}
	}
}

// ticketFor returns the ticket for a task on a worker, "" if there is none.
func (l *loop) ticketFor(id workload.TaskID, worker string) string {
	known := l.advised.steps[stepKeyOf(id)]
	if known == nil {
		return ""
	}
	return known.tickets[worker].text
}

// dropTicket forgets a ticket that a worker did not take.
func (l *loop) dropTicket(id workload.TaskID, worker string) {
	if known := l.advised.steps[stepKeyOf(id)]; known != nil {
		delete(known.tickets, worker)
		delete(known.asked, worker)
	}
}
