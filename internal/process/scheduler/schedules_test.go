package scheduler

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workerlease"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

var (
	scheduleSeeds = flag.Int("schedules", 2000, "random schedules to run")
	scheduleFirst = flag.Uint64("schedule.first", 1, "first seed of the random schedules")
)

// Shape of a random schedule.
const (
	faultyTime  = 12 * time.Second
	calmTime    = 20 * time.Second
	scheduleVMs = 4
	// workerMilliCPU is the capacity with which a worker starts.
	workerMilliCPU = 3000
	slowestOrder   = 4 * time.Second
	// quarterOfSeeds is the fraction of the seeds for schedules of a further form.
	quarterOfSeeds = 4
	// deadlySeeds is the interval of the seeds with a task that crashes its
	// workers.
	deadlySeeds = 4
	// accountSeeds is the interval of the seeds whose jobs have accounts.
	accountSeeds = 3
	// deadlyTime is the further time in which the job of such a task must end. Its
	// workers are silent for longer than a lease, so that each of its runs may
	// take that long.
	deadlyTime = 4 * (workerlease.Duration + time.Second)
)

// TestRandomSchedulesOfRuns injects random faults of calls, workers and
// leaders. No task may run twice at the same time, after its end, before its
// dependencies or too often, no start may bring a worker over its capacity, which
// shrinks and grows, no start may bring an account above its limit, and every job must end
// once the faults are over.
func TestRandomSchedulesOfRuns(t *testing.T) {
	eachSeed(t, 1, func(t *testing.T, seed uint64) {
		s := newSchedule(t, seed)
		if seed%accountSeeds == accountSeeds-1 {
			s.drawAccounts()
		}
		s.run()
	})
}

// eachSeed plays a schedule, in a bubble of its own, for one in fraction of the seeds
// that the flags ask for.
func eachSeed(t *testing.T, fraction int, play func(t *testing.T, seed uint64)) {
	for i := range uint64(*scheduleSeeds / fraction) {
		seed := *scheduleFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { play(t, seed) })
		})
	}
}

// packedSeeds is the number of seeds of which one records progress in its compact form.
const packedSeeds = 5

// schedule is one random sequence of events.
type schedule struct {
	*fixture
	seed   uint64
	random *rand.Rand
	calls  *faultyCalls
	jobs   []string
	// stopLeader stops the current leader.
	stopLeader context.CancelFunc
	group      sync.WaitGroup
	// workersStarted counts the workers that were started.
	workersStarted int
	// orders receives the orders for VMs, and leaderCalls the calls of leaders to
	// workers.
	orders      execution.Platform
	leaderCalls execution.Workers
	// furtherEvent, if set, may trigger another event beside each random one.
	furtherEvent func()
	// afterFaults, if set, is called when the time with faults is over.
	afterFaults func()
	// accountOf, if set, returns the account of a job.
	accountOf func(job string) string
	// needOf, if set, returns what a task of a step needs, in thousandths of a core.
	needOf func(job string, step int) int64
	// replicaOf, if set, returns the replica of the leader of a term, and its state.
	replicaOf func(ctx context.Context, term uint64) (replica.Replica, *workstate.Machine)
	// calm is the time without faults in which all jobs must end.
	calm time.Duration
	// slowestClocks is set if half of the workers' clocks are as slow as allowed.
	slowestClocks bool
	// margins collects how long before their ends were recorded leases had ended.
	margins *leaseMargins
	// deadlyTask is the task that crashes its workers, if the seed has one.
	deadlyTask workload.TaskID
	// current holds the current worker of each VM.
	current [scheduleVMs]*fakeWorker
}

func newSchedule(t *testing.T, seed uint64) *schedule {
	s := newBareSchedule(t, seed)
	if seed%deadlySeeds == 0 {
		s.deadlyTask = workload.TaskID{Job: fmt.Sprintf("%016x", 2)}
		s.workers.deadly = func(task workload.TaskID) bool { return task == s.deadlyTask }
		s.workers.onCrash = func(w *fakeWorker) { w.crashedAt = time.Now() }
	}
	for vm := range s.current {
		s.startWorker(vm, "")
	}
	return s
}

// newBareSchedule returns a schedule without workers.
func newBareSchedule(t *testing.T, seed uint64) *schedule {
	s := &schedule{fixture: newFixture(t, 0), seed: seed, random: rand.New(rand.NewPCG(seed, 11))}
	s.calls = &faultyCalls{fakeWorkers: s.workers, dice: newDice(seed)}
	s.workers.durationOf = func(task workload.TaskID, run int) time.Duration {
		return 50*time.Millisecond + time.Duration(s.calls.draw("duration", task, run)%1200)*time.Millisecond
	}
	s.workers.fails = func(task workload.TaskID, run int) bool { return s.calls.draw("fails", task, run)%16 == 0 }
	s.workers.clockStartOf = s.calls.drawClockStart
	s.orders, s.leaderCalls, s.margins = s.vms, s.calls, &leaseMargins{}
	s.calm = calmTime
	s.stopEnforcingCapacity()
	if seed%packedSeeds == packedSeeds-1 {
		s.commit(&workstate.Command{RaiseFormat: &workstate.RaiseFormat{Format: workstate.NewestFormat}})
	}
	return s
}

// startWorker starts a new worker on a VM, with the given id or a new one.
func (s *schedule) startWorker(vm int, id string) {
	s.workersStarted++
	if id == "" {
		id = fmt.Sprintf("w%d", s.workersStarted)
	}
	s.workers.mu.Lock()
	w := s.workers.add(id, workerMilliCPU)
	w.stopTime = time.Duration(s.random.IntN(200)) * time.Millisecond
	w.clockRate = 1 - workerlease.Drift*s.random.Float64()
	if s.slowestClocks && s.workersStarted%2 == 0 {
		w.clockRate = 1 - workerlease.Drift
	}
	s.workers.mu.Unlock()
	s.current[vm] = w
}

// crash ends the worker of a VM and its runs.
func (s *schedule) crash(vm int) {
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	if w := s.current[vm]; w.crashedAt.IsZero() {
		s.workers.crashAway(w)
	}
}

// restartCrashed starts the worker of a VM again some seconds after a deadly task
// has crashed it, with a new id or the same one.
func (s *schedule) restartCrashed(vm int, crashedAt time.Time) {
	if time.Since(crashedAt) < crashOutage {
		return
	}
	id := ""
	if s.random.IntN(3) == 0 {
		id = s.current[vm].id
	}
	s.startWorker(vm, id)
}

// sendHeartbeats sends the heartbeats of all reachable workers.
func (s *schedule) sendHeartbeats() {
	for vm, w := range s.current {
		s.workers.mu.Lock()
		unreachable, crashedAt, clockMS := w.unreachable, w.crashedAt, w.clock()
		s.workers.mu.Unlock()
		if !crashedAt.IsZero() {
			s.restartCrashed(vm, crashedAt)
			continue
		}
		if unreachable {
			continue
		}
		known := false
		s.machine.Read(func(v *workstate.View) {
			reg := v.Workers()[w.id]
			known = reg != nil && reg.Incarnation == w.incarnation && reg.Capacity == w.capacity
		})
		if !known {
			s.sendHeartbeat(vm, w)
		}
		s.workers.mu.Lock()
		if known {
			w.announce()
		}
		heard := w.heard()
		s.workers.mu.Unlock()
		heard.ClockMS = clockMS
		s.heard.AddAll([]workcall.HeardHeartbeat{heard})
		s.loop.post(func(l *loop) {
			l.recordHeartbeats([]workcall.HeardHeartbeat{heard}, time.Now())
			l.checkDerived(s.t)
		})
	}
}

// sendHeartbeat sends the heartbeat of a worker. A copy of it may arrive late.
func (s *schedule) sendHeartbeat(vm int, w *fakeWorker) {
	heartbeat := s.heartbeat(w, fmt.Sprintf("vm-%d", vm), "svc")
	s.commit(&workstate.Command{Register: heartbeat})
	if s.random.IntN(4) > 0 {
		return
	}
	late, delay := *heartbeat, time.Duration(s.random.IntN(3000))*time.Millisecond
	s.group.Go(func() {
		time.Sleep(delay)
		_, _ = propose(context.Background(), s.replica, &workstate.Command{Register: &late}, time.Now())
	})
}

// resize changes the capacity of the worker of a VM.
func (s *schedule) resize(vm int, milliCPU int64) {
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	s.current[vm].resize(milliCPU)
}

// run runs the schedule: a time with faults, then a time without faults in
// which all jobs must end.
func (s *schedule) run() {
	s.startLeader(0)
	for end := time.Now().Add(faultyTime); time.Now().Before(end); {
		s.calls.faulty.Store(s.random.IntN(3) > 0)
		s.randomEvent()
		if s.furtherEvent != nil {
			s.furtherEvent()
		}
		s.sendHeartbeats()
		time.Sleep(time.Duration(20+s.random.IntN(500)) * time.Millisecond)
	}
	s.calls.faulty.Store(false)
	if s.afterFaults != nil {
		s.afterFaults()
	}
	s.reconnectAll()
	for vm := range s.current {
		s.resize(vm, workerMilliCPU)
	}
	s.awaitEnds(s.calm, s.jobs)
	if slices.Contains(s.jobs, s.deadlyTask.Job) {
		s.awaitEnds(deadlyTime, []string{s.deadlyTask.Job})
	}
	s.checkJobs()
	s.checkDeadlyTask()
	time.Sleep(s.workers.slowestOrder)
	s.checkCancelled()
	s.stopLeader()
	s.group.Wait()
	// Wait for the calls that the last leader has abandoned.
	time.Sleep(time.Second)
}

// randomEvent triggers one random event.
func (s *schedule) randomEvent() {
	vm := s.random.IntN(scheduleVMs)
	switch s.random.IntN(15) {
	case 0, 1, 2, 3:
		s.submitRandom()
	case 4:
		s.cancelRandom()
	case 5, 6, 7:
		s.cutOff(vm, time.Duration(s.random.IntN(8000))*time.Millisecond)
	case 8:
		id := ""
		if s.calls.crosses != nil {
			id = s.current[vm].id
		}
		s.crash(vm)
		s.startWorker(vm, id)
	case 9:
		id := s.current[vm].id
		s.crash(vm)
		s.startWorker(vm, id)
	case 10:
		s.workers.mu.Lock()
		crashed := !s.current[vm].crashedAt.IsZero()
		s.workers.mu.Unlock()
		if !crashed {
			s.drain(vm)
		}
	case 13, 14:
		s.resize(vm, int64(s.random.IntN(5))*1000)
	case 11, 12:
		s.startLeader(time.Duration(s.random.IntN(1200)) * time.Millisecond)
	}
}

func (s *schedule) submitRandom() {
	id := fmt.Sprintf("%016x", len(s.jobs)+1)
	spec := workload.Spec{Payload: "p"}
	for i := range 1 + s.random.IntN(3) {
		st := step(1 + s.random.IntN(4))
		st.Estimate = 600 * time.Millisecond
		st.Checkpointing = s.random.IntN(2) == 0
		if s.needOf != nil {
			st.Need.MilliCPU = s.needOf(id, i)
		}
		if i > 0 {
			st.DependsOn = []int{s.random.IntN(i)}
		}
		spec.Steps = append(spec.Steps, st)
	}
	s.jobs = append(s.jobs, id)
	s.workers.mu.Lock()
	s.workers.ledger.specs[id] = spec
	s.workers.mu.Unlock()
	if s.accountOf != nil {
		s.submitAs(s.accountOf(id), id, spec.Steps...)
		return
	}
	s.submit(id, spec.Steps...)
}

func (s *schedule) cancelRandom() {
	if len(s.jobs) == 0 {
		return
	}
	id := s.jobs[s.random.IntN(len(s.jobs))]
	if s.outcome(id) != workstate.Open {
		return
	}
	s.commit(&workstate.Command{Cancel: &workstate.Cancel{ID: id, Host: "host", Path: "/q/" + id}})
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	if s.outcome(id) == workstate.Cancelled {
		s.workers.ledger.cancelled[id] = time.Now()
	}
}

// cutOff makes a worker unreachable for a while. It continues its runs.
func (s *schedule) cutOff(vm int, span time.Duration) {
	s.cutOffWorker(s.current[vm], span)
}

func (s *schedule) cutOffWorker(w *fakeWorker, span time.Duration) {
	s.workers.mu.Lock()
	w.unreachable = true
	s.workers.mu.Unlock()
	s.group.Go(func() {
		time.Sleep(span)
		s.workers.mu.Lock()
		w.unreachable = false
		s.workers.mu.Unlock()
	})
}

func (s *schedule) reconnectAll() {
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	for _, w := range s.current {
		w.unreachable = false
	}
}

// drain announces that a worker is draining, and later replaces it.
func (s *schedule) drain(vm int) {
	w := s.current[vm]
	s.announceDrain(w, fmt.Sprintf("vm-%d", vm))
	s.workers.mu.Lock()
	s.workers.ledger.draining[w.id] = time.Now()
	s.workers.mu.Unlock()
	time.Sleep(time.Duration(s.random.IntN(3000)) * time.Millisecond)
	s.crash(vm)
	s.startWorker(vm, "")
}

// startLeader starts a new leader. The current one continues for a while, like
// a leader that is partitioned.
func (s *schedule) startLeader(overlap time.Duration) {
	if stop := s.stopLeader; stop != nil {
		s.group.Go(func() {
			time.Sleep(overlap)
			stop()
		})
	}
	term := s.replica.startTerm()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopLeader = cancel
	log := slog.New(slog.NewTextHandler(testLog{s.t}, nil)).With("leader", term)
	var r replica.Replica = &termReplica{fakeReplica: s.replica, term: term, dice: s.calls.dice, onCommit: s.checkCommit}
	machine := s.machine
	if s.replicaOf != nil {
		r, machine = s.replicaOf(ctx, term)
	}
	l := newLoop(ctx, Options{
		Replica: r, Machine: machine, Workers: s.leaderCalls, Platform: s.orders,
		Holder: fmt.Sprint("c", term), Limits: s.limits, Log: log, Now: time.Now,
	}, term)
	l.heard = &s.heard
	s.loop = l
	s.group.Go(func() {
		if l.catchUp() {
			l.run()
		}
	})
}

// awaitEnds waits until jobs have ended, up to a limit.
func (s *schedule) awaitEnds(limit time.Duration, jobs []string) {
	for end := time.Now().Add(limit); time.Now().Before(end) && !s.ended(jobs); {
		s.sendHeartbeats()
		time.Sleep(time.Second)
	}
	for _, id := range jobs {
		if id != s.deadlyTask.Job && s.outcome(id) == workstate.Open {
			s.t.Errorf("seed %d: job %s has not ended", s.seed, id)
		}
	}
}

func (s *schedule) ended(jobs []string) bool {
	for _, id := range jobs {
		if s.outcome(id) == workstate.Open {
			return false
		}
	}
	return true
}

// checkDeadlyTask reports a task that has crashed too many workers.
func (s *schedule) checkDeadlyTask() {
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	if crashes := s.workers.deadlyCrashes[s.deadlyTask]; crashes > maxDeadlyStarts {
		s.t.Errorf("seed %d: %s has crashed %d workers", s.seed, s.deadlyTask, crashes)
	}
}

// checkJobs reports jobs that have not ended, or that failed without a reason.
func (s *schedule) checkJobs() {
	for _, id := range s.jobs {
		switch outcome := s.outcome(id); {
		case outcome == workstate.Open:
			s.t.Errorf("seed %d: job %s has not ended", s.seed, id)
		case outcome == workstate.Failed && !s.exhausted(id) && !s.workers.ledger.mayBeGivenUp(id):
			s.t.Errorf("seed %d: job %s failed with attempts left", s.seed, id)
		case outcome == workstate.Succeeded:
			s.checkSucceeded(id)
		}
	}
}

func (s *schedule) exhausted(job string) bool {
	for task := range s.workers.ledger.tasks {
		if task.Job == job && s.workers.ledger.count(task, execution.ReasonFailed) >= testAttempts {
			return true
		}
	}
	return false
}

func (s *schedule) checkSucceeded(job string) {
	for i, st := range s.workers.ledger.specs[job].Steps {
		for k := range st.Count {
			task := workload.TaskID{Job: job, Step: i, Index: k}
			if s.workers.ledger.count(task, execution.ReasonDone) == 0 {
				s.t.Errorf("seed %d: job %s succeeded without %s", s.seed, job, task)
			}
		}
	}
}

// checkCancelled reports tasks of cancelled jobs that still execute.
func (s *schedule) checkCancelled() {
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	for _, w := range s.workers.workers {
		s.workers.advance(w)
		for task := range w.running {
			if _, cancelled := s.workers.ledger.cancelled[task.Job]; cancelled {
				s.t.Errorf("seed %d: %s of a cancelled job runs on %s", s.seed, task, w.id)
			}
		}
	}
}

// checkDerived compares what the leader keeps with its runs and workers with the
// tables that it is derived from.
func (l *loop) checkDerived(t *testing.T) {
	listed := func(a, b *worker) int { return cmp.Compare(a.reg.ID, b.reg.ID) }
	if table := slices.SortedFunc(maps.Values(l.workers), listed); !slices.Equal(table, l.workerList) {
		t.Errorf("the list has %d workers, the table %d, or they differ", len(l.workerList), len(table))
	}
	for id, r := range l.runs.All() {
		if queued := l.endQueued(runKey{id, r.number}); r.ending != queued {
			t.Errorf("%s#%d: ending %t, an end is queued: %t", id, r.number, r.ending, queued)
		}
		if r.on != nil && !r.on.removed && r.on != l.workers[r.worker] {
			t.Errorf("%s#%d: its worker %s is another one in the table", id, r.number, r.worker)
		}
	}
}
