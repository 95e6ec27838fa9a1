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
	// adviceWorkers is the number of workers that one call asks about. The
	// latency objective of a job allows for one call per step that asks about 30
	// workers.
	adviceWorkers = 30
	// adviceCalls limits the calls in flight. The adviser serves one call after
	// the other, and the most urgent step must not wait behind many.
	adviceCalls = 4
	// adviceCallMargin is added to the expected duration of a call to get its
	// timeout.
	adviceCallMargin = time.Second
	// adviceRetry is the pause after a failed call.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is the minimum remaining validity of a ticket when a start
	// order is sent.
	ticketMargin = 500 * time.Millisecond
)

// ticket is an adviser's permit to run a step on one incarnation of a worker.
type ticket struct {
	text        string
	incarnation int64
	validUntil  time.Time
}

// stepAdvice is the advice received for one step.
type stepAdvice struct {
	tickets map[string]ticket
	// asked holds the incarnations of the workers that the adviser was asked
	// about. A worker that got no ticket is not eligible, and the same
	// incarnation is not asked about again.
	asked map[string]int64
	// calling is set while a call is in flight.
	calling bool
	// pausedUntil is the time before which no further call is made.
	pausedUntil time.Time
}

// adviceState is the advice received for all steps.
type adviceState struct {
	steps map[workload.StepID]*stepAdvice
	calls int
}

// forStep returns the advice for a step, which is empty at first.
func (a *adviceState) forStep(key workload.StepID) *stepAdvice {
	advice := a.steps[key]
	if advice == nil {
		advice = &stepAdvice{tickets: map[string]ticket{}, asked: map[string]int64{}}
		a.steps[key] = advice
	}
	return advice
}

// applyAdvice restricts the groups of queues with advice to the workers that
// have tickets. It asks for more tickets if these workers don't have enough
// free capacity.
func (l *loop) applyAdvice(v *workstate.View, u *usage, groups []*placement.Group, now time.Time) {
	if l.Adviser == nil {
		return
	}
	seen := map[workload.StepID]bool{}
	slices.SortStableFunc(groups, func(a, b *placement.Group) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Rank, b.Rank))
	})
	for _, g := range groups {
		queue := v.Queue(v.Job(g.Job).Queue)
		if queue == nil || queue.Advice == nil {
			continue
		}
		key := workload.StepID{Job: g.Job, Occurrence: g.Occurrence, Step: g.Step}
		seen[key] = true
		advice := l.advice.forStep(key)
		g.Restricted = true
		g.Allowed = l.validTickets(advice, now)
		if l.countFitting(u, g, now) < len(g.Indexes) {
			l.requestAdvice(u, g, advice, queue.Advice, now)
		}
	}
	for key, advice := range l.advice.steps {
		if !seen[key] && !advice.calling && len(advice.tickets) == 0 {
			delete(l.advice.steps, key)
		}
	}
}

// validTickets returns the workers with a valid ticket.
func (l *loop) validTickets(a *stepAdvice, now time.Time) map[string]bool {
	allowed := map[string]bool{}
	for id, t := range a.tickets {
		w := l.workers[id]
		if w == nil || w.reg.Incarnation != t.incarnation || now.After(t.validUntil) {
			// The ticket is no longer usable. The adviser has to be asked about
			// the worker again.
			delete(a.tickets, id)
			delete(a.asked, id)
			continue
		}
		allowed[id] = true
	}
	return allowed
}

// countFitting returns the number of tasks of a group that fit on the allowed
// workers.
func (l *loop) countFitting(u *usage, g *placement.Group, now time.Time) int {
	count := 0
	for id := range g.Allowed {
		w := l.workers[id]
		if !w.schedulable(now) {
			continue
		}
		free := w.reg.Capacity.Sub(u.usedOn(w))
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

// requestAdvice asks the adviser about the workers with the most free capacity
// that it was not asked about yet.
func (l *loop) requestAdvice(u *usage, g *placement.Group, advice *stepAdvice, config *catalog.Advice, now time.Time) {
	if advice.calling || now.Before(advice.pausedUntil) || l.advice.calls >= adviceCalls {
		return
	}
	var candidates []*worker
	for id, w := range l.workers {
		if incarnation, asked := advice.asked[id]; w.reg.Service == g.Service && w.schedulable(now) && (!asked || incarnation != w.reg.Incarnation) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(u.usedOn(a).MilliCPU, u.usedOn(b).MilliCPU), cmp.Compare(a.reg.ID, b.reg.ID))
	})
	candidates = candidates[:min(len(candidates), adviceWorkers)]
	l.callAdviser(workload.StepID{Job: g.Job, Occurrence: g.Occurrence, Step: g.Step}, advice, candidates, config)
}

// callAdviser calls the adviser about workers for a step. The answer returns as
// an event.
func (l *loop) callAdviser(key workload.StepID, advice *stepAdvice, workers []*worker, config *catalog.Advice) {
	advice.calling = true
	l.advice.calls++
	ids, incarnations := make([]string, len(workers)), map[string]int64{}
	for i, w := range workers {
		ids[i] = w.reg.ID
		incarnations[w.reg.ID] = w.reg.Incarnation
	}
	// The adviser serves the calls in flight one after the other.
	limit := adviceCalls*(config.Decide+time.Duration(len(ids))*config.PerWorker) + adviceCallMargin
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, limit)
		defer cancel()
		asked := time.Now()
		tickets, err := l.Adviser.Advise(ctx, fmt.Sprintf("%s.%d.%d", key.Job, key.Occurrence, key.Step), ids)
		l.post(func(l *loop) { l.handleAdvice(key, advice, incarnations, tickets, config, asked, err) })
	}()
}

// handleAdvice handles the adviser's answer.
func (l *loop) handleAdvice(key workload.StepID, advice *stepAdvice, incarnations map[string]int64, tickets map[string]string, config *catalog.Advice, asked time.Time, err error) {
	now := time.Now()
	advice.calling = false
	l.advice.calls--
	l.dirty = true
	if err != nil {
		advice.pausedUntil = now.Add(adviceRetry)
		l.Log.Warn("advice request failed", "job", key.Job, "step", key.Step, "workers", len(incarnations), "error", err.Error())
		return
	}
	l.Log.Info("advice received", "job", key.Job, "step", key.Step, "workers", len(incarnations), "eligible", len(tickets), "took_ms", now.Sub(asked).Milliseconds())
	for id, incarnation := range incarnations {
		advice.asked[id] = incarnation
		if text, eligible := tickets[id]; eligible {
			advice.tickets[id] = ticket{text: text, incarnation: incarnation, validUntil: asked.Add(config.Validity - ticketMargin)}
		}
	}
}

// ticketFor returns the ticket for a task on a worker, or "" if there is none.
func (l *loop) ticketFor(id workload.TaskID, worker string) string {
	advice := l.advice.steps[id.StepID()]
	if advice == nil {
		return ""
	}
	return advice.tickets[worker].text
}

// removeTicket removes a ticket that a worker refused, so that the adviser is
// asked again.
func (l *loop) removeTicket(id workload.TaskID, worker string) {
	if advice := l.advice.steps[id.StepID()]; advice != nil {
		delete(advice.tickets, worker)
		delete(advice.asked, worker)
	}
}
