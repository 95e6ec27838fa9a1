package integration

import (
	"sync"
	"testing"
	"time"
)

// hostedRun is a run on a stand-in worker.
type hostedRun struct {
	task   string
	run    int
	endsAt time.Time
}

// hostedLedger records the runs on all stand-in workers of a deployment. It fails
// the test if a task executes on two workers at once, or starts again after the
// scheduler has acknowledged its success.
type hostedLedger struct {
	t  *testing.T
	mu sync.Mutex
	// executing holds the worker of each running task. acknowledged holds the
	// tasks whose success the scheduler has acknowledged, so that the worker
	// has deleted it.
	executing    map[string]*hostedWorker
	acknowledged map[string]bool
	starts       int
}

func newHostedLedger(t *testing.T) *hostedLedger {
	return &hostedLedger{t: t, executing: map[string]*hostedWorker{}, acknowledged: map[string]bool{}}
}

// recordStart records the start of a run.
func (l *hostedLedger) recordStart(w *hostedWorker, task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	if other := l.executing[task]; other != nil {
		l.t.Errorf("task %s run %d starts on %s while it executes on %s", task, run, w.id, other.id)
	}
	if l.acknowledged[task] {
		l.t.Errorf("task %s run %d starts on %s after its success was acknowledged", task, run, w.id)
	}
	l.executing[task] = w
}

// recordEnd records the end of a run, for whatever reason.
func (l *hostedLedger) recordEnd(w *hostedWorker, task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.executing[task] == w {
		delete(l.executing, task)
	}
}

// recordAcknowledged records that the scheduler has acknowledged a task's success.
func (l *hostedLedger) recordAcknowledged(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged[task] = true
}

// hostedEnd is an entry in a worker's list of ended runs.
type hostedEnd struct {
	number   int64
	task     string
	run      int
	reason   string
	listedAt time.Time
}
