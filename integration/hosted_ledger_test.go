package integration

import (
	"io"
	"log"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/standin"
)

// hostedRun is a run on a stand-in worker.
type hostedRun struct {
	task   string
	run    int
	endsAt time.Time
	// stopped is set once the run was told to stop, which it has done at endsAt.
	stopped bool
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
	// clockStarts holds what the clock of the last incarnation with each id showed as
	// it started. random, if set, draws it.
	clockStarts map[string]int64
	random      *rand.Rand
	// crashes counts the workers that a task has crashed, losses the workers
	// that were lost while they executed it.
	crashes, losses map[string]int
	// trace receives a line for each event.
	trace *log.Logger
}

func newHostedLedger(t *testing.T) *hostedLedger {
	return &hostedLedger{t: t, executing: map[string]*hostedWorker{}, acknowledged: map[string]bool{}, clockStarts: map[string]int64{}, crashes: map[string]int{}, losses: map[string]int{}, trace: log.New(io.Discard, "", 0)}
}

// nextClockStart returns what the clock of the next incarnation of a worker shows as it
// starts. Calls to the former incarnation carry a time far ahead.
func (l *hostedLedger) nextClockStart(id string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := standin.ClockStartMS(len(l.clockStarts) + 1)
	if former, known := l.clockStarts[id]; known {
		next = former / 2
	}
	if l.random != nil {
		// Half of the next incarnations start below 1 s, so that most calls to the former
		// ones carry times ahead.
		most := int64(9_000_000)
		if _, known := l.clockStarts[id]; known && l.random.IntN(2) == 0 {
			most = 1000
		}
		next = 1 + l.random.Int64N(most)
	}
	l.clockStarts[id] = next
	return next
}

// recordStart records the start of a run.
func (l *hostedLedger) recordStart(w *hostedWorker, task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	l.trace.Printf("start %s run %d on %s", task, run, w.id)
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

// recordLoss records that a run has ended because its worker was lost.
func (l *hostedLedger) recordLoss(w *hostedWorker, task string) {
	l.recordEnd(w, task)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trace.Printf("lost %s with %s", task, w.id)
	l.losses[task]++
}

// maxCrashes is the number of workers that one task may crash: its crashes are
// known after the third, and it is started at most twice more.
const maxCrashes = 5

// recordCrash records that a task crashes its worker.
func (l *hostedLedger) recordCrash(w *hostedWorker, task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[task]++
	l.trace.Printf("task %s crashes %s", task, w.id)
	if l.crashes[task] > maxCrashes {
		l.t.Errorf("task %s has crashed %d workers, the last is %s", task, l.crashes[task], w.id)
	}
}

// lossesOf returns how many workers were lost under each task of a job.
func (l *hostedLedger) lossesOf(job string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	losses := map[string]int{}
	for task, count := range l.losses {
		if strings.HasPrefix(task, job) {
			losses[task] = count
		}
	}
	return losses
}

// recordAcknowledged records that the scheduler has acknowledged a task's success.
func (l *hostedLedger) recordAcknowledged(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trace.Printf("acknowledged %s", task)
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
