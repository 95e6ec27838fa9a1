package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
)

// fakeAdviser gives tickets for workers with an odd number.
type fakeAdviser struct {
	calls, inFlight, most int
	busy                  int
}

func odd(worker string) bool {
	var n int
	_, _ = fmt.Sscanf(worker, "w%d", &n)
	return n%2 == 1
}

func (a *fakeAdviser) Advise(_ context.Context, step string, workers []string) (map[string]string, error) {
	a.calls++
	a.inFlight++
	a.most = max(a.most, a.inFlight)
	defer func() { a.inFlight-- }()
	time.Sleep(50 * time.Millisecond)
	if a.busy > 0 {
		a.busy--
		return nil, execution.ErrAdviserBusy
	}
	tickets := map[string]string{}
	for _, w := range workers {
		if odd(w) {
			tickets[w] = step + "@" + w
		}
	}
	return tickets, nil
}

func TestTasksRunOnlyOnWorkersAllowedByAdviser(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 200*time.Millisecond)
		c := testCatalog()
		c.Version = 2
		c.Queues[0].Advice = &catalog.Advice{Decide: 20 * time.Millisecond, PerWorker: time.Millisecond, Validity: 5 * time.Second}
		f.commit(&workstate.Command{Catalog: c})
		adviser := &fakeAdviser{busy: 1}
		f.adviser = adviser
		f.workers.ticket = func(w *fakeWorker, o execution.StartOrder) bool {
			return odd(w.id) && o.Ticket == fmt.Sprintf("%s.%d.%d@%s", o.Task.Job, o.Task.Occurrence, o.Task.Step, w.id)
		}
		for i := range 6 {
			f.addWorker(fmt.Sprint("w", i), 4000)
		}
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		for i := range 10 {
			f.submit(fmt.Sprintf("%016x", i), step(3), step(2, 0))
		}
		for i := range 10 {
			f.await(fmt.Sprintf("%016x", i), workstate.Succeeded, 10*time.Second)
		}
		if f.workers.starts != 50 || adviser.most > adviceCalls {
			t.Errorf("%d starts of 50 tasks, %d calls in flight", f.workers.starts, adviser.most)
		}
		if adviser.calls > 25 {
			t.Errorf("%d calls for 20 steps", adviser.calls)
		}
	})
}
