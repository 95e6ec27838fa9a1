package scheduler

import (
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
)

func TestPredicatesOfWorkers(t *testing.T) {
	type predicates struct{ answering, orders, inTouch, starts, schedulable bool }
	now := time.Now()
	for name, c := range map[string]struct {
		change func(*worker)
		wanted predicates
	}{
		"usable":        {func(*worker) {}, predicates{true, true, true, true, true}},
		"not contacted": {func(w *worker) { w.contacted = false }, predicates{false, false, false, true, false}},
		"unresponsive":  {func(w *worker) { w.unresponsive = true }, predicates{false, true, false, true, false}},
		"superseded":    {func(w *worker) { w.superseded = true }, predicates{true, false, false, false, false}},
		"deregistering": {func(w *worker) { w.deregistering = true }, predicates{true, true, true, false, false}},
		"draining":      {func(w *worker) { w.reg.Draining = true }, predicates{true, true, true, false, false}},
		"paused":        {func(w *worker) { w.pausedUntil = now.Add(time.Second) }, predicates{true, true, true, true, false}},
		"old answer":    {func(w *worker) { w.answeredAt = now.Add(-maxAnswerAge) }, predicates{true, true, true, true, false}},
	} {
		w := &worker{reg: workstate.Worker{ID: "w1"}, contacted: true, answeredAt: now}
		c.change(w)
		got := predicates{w.answering(), w.mayGetOrders(), w.inTouch(), w.mayGetStarts(&w.reg), w.schedulable(now)}
		if got != c.wanted {
			t.Errorf("%s: %+v, expected %+v", name, got, c.wanted)
		}
		if w.mayGetStarts(nil) {
			t.Errorf("%s: starts without a registration", name)
		}
	}
}
