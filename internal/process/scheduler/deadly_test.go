package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const (
	// crashDelay is how long after its start a deadly task crashes its worker.
	crashDelay = 10 * time.Millisecond
	// crashOutage is how long a crashed worker is away.
	crashOutage = 3200 * time.Millisecond
	// maxDeadlyStarts is how often a deadly task may be started: three crashes,
	// and fewer than three starts after them.
	maxDeadlyStarts = 5
)

// crashSoon lets a deadly task crash the worker that has started it.
func (f *fakeWorkers) crashSoon(w *fakeWorker, task workload.TaskID) {
	time.Sleep(crashDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.workers[w.id] != w || w.running[task] == nil {
		return
	}
	f.deadlyCrashes[task]++
	f.crashAway(w)
	if f.onCrash != nil {
		f.onCrash(w)
	}
}

// crashAway crashes a worker, which no longer answers. The lock must be held.
func (f *fakeWorkers) crashAway(w *fakeWorker) {
	f.crash(w)
	w.notifyChanged()
	delete(f.workers, w.id)
}

// crashFixture is a fixture whose workers come back on their VMs some seconds
// after a crash.
type crashFixture struct {
	*fixture
	// vms holds the VM of each worker.
	vms map[string]string
	// restarted counts the restarts.
	restarted int
}

// newCrashFixture returns a crashFixture with a number of workers of four cores.
func newCrashFixture(t *testing.T, duration time.Duration, workers int) *crashFixture {
	f := &crashFixture{fixture: newFixture(t, duration), vms: map[string]string{}}
	for i := range workers {
		id := fmt.Sprint("w", i)
		f.addWorker(id, 4000)
		f.vms[id] = "vm-" + id
	}
	f.workers.onCrash = func(w *fakeWorker) { go f.restartLater(w) }
	return f
}

// restartLater starts a new worker on the VM of a crashed one.
func (f *crashFixture) restartLater(w *fakeWorker) {
	time.Sleep(crashOutage)
	f.workers.mu.Lock()
	f.restarted++
	next := f.workers.add(fmt.Sprintf("r%d", f.restarted), w.capacity.MilliCPU)
	vm := f.vms[w.id]
	f.vms[next.id] = vm
	f.workers.mu.Unlock()
	reg := workstate.Worker{ID: next.id, Address: vm, Service: "svc", VM: vm, Incarnation: next.incarnation, Capacity: next.capacity}
	if _, err := propose(context.Background(), f.replica, &workstate.Command{Register: &reg}, time.Now()); err != nil {
		f.t.Error(err)
	}
}

// finish ends the leadership and waits for the workers that are away, which come
// back.
func (f *crashFixture) finish() {
	f.depose()
	time.Sleep(crashDelay + 2*crashOutage)
}

// crashWorker crashes a worker without a task's guilt.
func (f *crashFixture) crashWorker(w *fakeWorker) {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	if f.workers.workers[w.id] != w {
		return
	}
	f.workers.crashAway(w)
	go f.restartLater(w)
}

// workerOf returns the worker that executes a task of a job, or nil.
func (f *crashFixture) workerOf(job string) *fakeWorker {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	for _, w := range f.workers.workers {
		for task := range w.running {
			if task.Job == job {
				return w
			}
		}
	}
	return nil
}

// awaitRun waits until a worker executes a task of a job and returns the worker.
func (f *crashFixture) awaitRun(job string) *fakeWorker {
	f.t.Helper()
	for range 1000 {
		time.Sleep(10 * time.Millisecond)
		if w := f.workerOf(job); w != nil {
			return w
		}
	}
	f.t.Fatalf("no task of job %s executes", job)
	return nil
}

// aliveWorkers returns the workers that are up, by name of their VM.
func (f *crashFixture) aliveWorkers() map[string]*fakeWorker {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	alive := map[string]*fakeWorker{}
	for id, w := range f.workers.workers {
		alive[f.vms[id]] = w
	}
	return alive
}

// deadlyStarts returns how often a task was started.
func (f *crashFixture) deadlyStarts(task workload.TaskID) int {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	return len(f.workers.ledger.history(task).starts)
}

// makeDeadly makes the first task of a job crash its workers.
func (f *crashFixture) makeDeadly(job string) workload.TaskID {
	f.workers.deadly = func(task workload.TaskID) bool { return task == workload.TaskID{Job: job} }
	return workload.TaskID{Job: job}
}

func (f *crashFixture) checkDeadlyStarts(task workload.TaskID) {
	f.t.Helper()
	if starts := f.deadlyStarts(task); starts > maxDeadlyStarts {
		f.t.Errorf("%s was started %d times", task, starts)
	}
}

func jobName(i int) string { return fmt.Sprintf("%016x", 0xb000+i) }

func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, 800*time.Millisecond, 4)
		deadly := f.makeDeadly(jobA)
		f.lead()
		defer f.finish()
		time.Sleep(time.Second)
		f.submit(jobA, step(4))
		f.await(jobA, workstate.Failed, 20*time.Second)
		f.checkDeadlyStarts(deadly)
	})
}

func TestTasksBesideOneThatCrashesWorkersSucceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const beside = 40
		f := newCrashFixture(t, 1500*time.Millisecond, 8)
		deadly := f.makeDeadly(jobA)
		f.lead()
		defer f.finish()
		time.Sleep(time.Second)
		f.submit(jobA, step(4))
		for i := range beside {
			f.submit(jobName(i), step(2))
			time.Sleep(150 * time.Millisecond)
		}
		for i := range beside {
			f.await(jobName(i), workstate.Succeeded, 15*time.Second)
		}
		f.await(jobA, workstate.Failed, 15*time.Second)
		f.checkDeadlyStarts(deadly)
	})
}

func TestCrashesOfWorkersWithoutGuiltFailNoJob(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			const jobs, flapping = 60, "vm-w0"
			random := rand.New(rand.NewPCG(seed, 5))
			f := newCrashFixture(t, 900*time.Millisecond, 10)
			f.lead()
			defer f.finish()
			time.Sleep(time.Second)
			for i := range jobs {
				f.submit(jobName(i), step(1+random.IntN(4)))
				for vm, w := range f.aliveWorkers() {
					if vm == flapping && i%4 == 0 || i%20 == 10 && w.id[len(w.id)-1]%3 == 0 {
						f.crashWorker(w)
					}
				}
				time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
			}
			for i := range jobs {
				f.await(jobName(i), workstate.Succeeded, 30*time.Second)
			}
		})
	}
}

func TestCrashCountOutlivesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, 800*time.Millisecond, 4)
		deadly := f.makeDeadly(jobA)
		f.lead()
		time.Sleep(time.Second)
		f.submit(jobA, step(4))
		for i := 0; i < 20 && f.outcome(jobA) == workstate.Open; i++ {
			time.Sleep(2 * time.Second)
			f.depose()
			f.lead()
		}
		defer f.finish()
		if f.outcome(jobA) != workstate.Failed {
			t.Errorf("outcome %d, expected that the job has failed", f.outcome(jobA))
		}
		f.checkDeadlyStarts(deadly)
	})
}
