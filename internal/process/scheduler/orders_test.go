package scheduler

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// waitingWorkers answers the orders of a round all at once.
type waitingWorkers struct {
	*fakeWorkers
	mu       sync.Mutex
	answer   chan struct{}
	inFlight int
	started  map[int]bool
	stopped  map[int]bool
}

func (w *waitingWorkers) wait(done map[int]bool, index int) (execution.Answer, error) {
	w.mu.Lock()
	w.inFlight++
	answer := w.answer
	w.mu.Unlock()
	<-answer
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	done[index] = true
	return execution.Answer{ClockMS: 1}, nil
}

func (w *waitingWorkers) Start(_ context.Context, _ execution.WorkerAddress, o execution.StartOrder) (execution.Answer, error) {
	return w.wait(w.started, o.Task.Index)
}

func (w *waitingWorkers) Stop(_ context.Context, _ execution.WorkerAddress, task workload.TaskID, _ int, _ uint64) (execution.Answer, error) {
	return w.wait(w.stopped, task.Index)
}

// answerAll answers what is in flight and returns its number.
func (w *waitingWorkers) answerAll() int {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.answer)
	w.answer = make(chan struct{})
	return w.inFlight
}

// TestOrdersOfAWideStepAreSentInParts guards against a leader that exceeds its memory, since it sends all start or stop orders of a wide job at once, and against orders that are held back for good.
func TestOrdersOfAWideStepAreSentInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, machine, starts := wideJob(t, workstate.NewestFormat)
		const count = 5000
		starts = starts[:count]
		workers := &waitingWorkers{fakeWorkers: newFakeWorkers(t, time.Second), answer: make(chan struct{}), started: map[int]bool{}, stopped: map[int]bool{}}
		l.Workers = workers
		machine.Read(func(v *workstate.View) { l.syncWorkers(v) })
		w := l.workers["w0"]
		w.contacted, w.answeredAt = true, time.Now().Add(time.Hour)
		w.report = newReportView(time.Now(), &execution.Report{ClockMS: 1})
		round := func() {
			if inFlight := workers.answerAll(); inFlight > 128 {
				t.Fatalf("%d orders are in flight to one worker", inFlight)
			}
			synctest.Wait()
			l.drainEvents()
			machine.Read(func(v *workstate.View) { l.reconcile(v, capacityInUse, time.Now()) })
		}
		l.commit(&workstate.Progress{Starts: starts})
		(<-l.events)(l)
		for range 2 * count / 128 {
			round()
		}
		if len(workers.started) != count {
			t.Errorf("%d of %d runs were started", len(workers.started), count)
		}
		commitTo(t, machine, &workstate.Command{Cancel: &workstate.Cancel{ID: jobA, Host: "host", Path: "/q/" + jobA}})
		for range 2 * count / 128 {
			round()
		}
		if len(workers.stopped) != count {
			t.Errorf("%d of %d runs were stopped", len(workers.stopped), count)
		}
	})
}
