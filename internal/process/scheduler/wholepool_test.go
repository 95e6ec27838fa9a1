package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// longestAbsence is the time without a run after which a long-running task counts as
// lost if there is room for it.
const longestAbsence = 6 * time.Second

// absences follows how long the long-running tasks of some jobs are without a run.
type absences struct {
	f *fixture
	// tasks holds the number of tasks of each job.
	tasks   map[string]int
	since   map[workload.TaskID]time.Time
	longest time.Duration
	// starts counts the runs of each task.
	starts map[workload.TaskID]int
	last   map[workload.TaskID]int
}

func newAbsences(f *fixture, tasks map[string]int) *absences {
	return &absences{f: f, tasks: tasks, since: map[workload.TaskID]time.Time{}, starts: map[workload.TaskID]int{}, last: map[workload.TaskID]int{}}
}

// watch looks at the workers ten times a second.
func (a *absences) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		a.look()
	}
}

func (a *absences) look() {
	a.f.workers.mu.Lock()
	defer a.f.workers.mu.Unlock()
	runs := map[workload.TaskID]int{}
	for _, w := range a.f.workers.workers {
		for id, r := range w.running {
			runs[id] = r.run
		}
	}
	for job, count := range a.tasks {
		for i := range count {
			a.lookAt(workload.TaskID{Job: job, Index: i}, runs)
		}
	}
}

func (a *absences) lookAt(id workload.TaskID, runs map[workload.TaskID]int) {
	run, running := runs[id]
	if !running {
		if _, known := a.since[id]; !known {
			a.since[id] = time.Now()
		}
		a.longest = max(a.longest, time.Since(a.since[id]))
		return
	}
	delete(a.since, id)
	if run != a.last[id] {
		a.last[id] = run
		a.starts[id]++
	}
}

// awayByJob counts the tasks of each job that had no run when they were last looked at.
func (a *absences) awayByJob() map[string]int {
	away := map[string]int{}
	for id := range a.since {
		away[id.Job]++
	}
	return away
}

// check reports a task that was away for too long.
func (a *absences) check() {
	a.f.t.Helper()
	if a.longest > longestAbsence {
		a.f.t.Errorf("a long-running task was away for %s", a.longest)
	}
}

// twoOfEach returns the tasks of jobs that have two each.
func twoOfEach(jobs []string) map[string]int {
	tasks := map[string]int{}
	for _, job := range jobs {
		tasks[job] = 2
	}
	return tasks
}

// leadLabelledPool adds VMs of "svc" on racks of their own, each with a job of two
// long-running tasks, starts a leader and returns the VMs and the jobs.
func (f *fixture) leadLabelledPool(count int) (vms, jobs []string) {
	f.replaceWorkers(2 * time.Second)
	for i := range count {
		vms = append(vms, f.addLabelledVM(i))
		jobs = append(jobs, fmt.Sprintf("%016x", i+1))
	}
	f.lead()
	time.Sleep(6 * time.Second)
	for i, job := range jobs {
		f.submit(job, workload.Step{Count: 2, Need: workload.Resources{MilliCPU: 1000}, LongRunning: true, DisruptionBudget: 1, DataRack: fmt.Sprint("r", i)})
	}
	time.Sleep(time.Second)
	return vms, jobs
}

// addLabelledVM adds a VM of "svc" on a rack of its own and returns its id.
func (f *fixture) addLabelledVM(number int) string {
	id := fmt.Sprint("w", number)
	vm := "vm-" + id
	f.vms.vms[vm] = &execution.VM{ID: vm, Pool: "svc", State: execution.VMUp, Worker: id}
	w := f.workers.add(id, 8000)
	w.labels = []string{fmt.Sprint("r", number)}
	f.register(w, vm, "svc")
	return vm
}

// settled returns how many VMs of a wave have had their maintenance.
func (f *fixture) settled(wave int64) int {
	count := 0
	f.machine.Read(func(v *workstate.View) { count = len(v.Waves()[wave].Settled) })
	return count
}

// unsettled returns how many VMs of a wave have not had their maintenance.
func (f *fixture) unsettled(wave int64) int {
	count := 0
	f.machine.Read(func(v *workstate.View) { count = len(v.Waves()[wave].VMs) })
	return count - f.settled(wave)
}

// checkWavesEnded reports the waves of which VMs have had no maintenance.
func (f *fixture) checkWavesEnded(waves ...int64) {
	f.t.Helper()
	for _, wave := range waves {
		if left := f.unsettled(wave); left > 0 {
			f.t.Errorf("%d VMs of wave %d have had no maintenance", left, wave)
		}
	}
}

func (f *fixture) startWave(number int64, vms []string, limit int, length time.Duration) {
	f.commit(&workstate.Command{Wave: &workstate.Wave{Number: number, VMs: vms, Cap: limit, DeadlineMS: time.Now().Add(length).UnixMilli()}})
}

// TestWaveOverAWholePoolKeepsARoomForItsLongRunningTasks guards against tasks that are stopped for good: all VMs of the pool were cordoned, so that the tasks and the wave waited for each other.
func TestWaveOverAWholePoolKeepsARoomForItsLongRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, deadline = 3, 27 * time.Second
		f := newFixture(t, time.Hour)
		names, jobs := f.leadLabelledPool(vms)
		defer f.depose()
		f.startWave(1, names, vms, deadline)
		away := newAbsences(f, twoOfEach(jobs))
		away.watch(deadline)
		f.checkWavesEnded(1)
		away.check()
	})
}

// TestOverlappingWavesMoveLongRunningTasksOnce guards against tasks that move from one VM that waits for its maintenance to the next: each leaves its VM once, but for those of the first VM.
func TestOverlappingWavesMoveLongRunningTasksOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, deadline = 6, 40 * time.Second
		f := newFixture(t, time.Hour)
		names, jobs := f.leadLabelledPool(vms)
		defer f.depose()
		away := newAbsences(f, twoOfEach(jobs))
		away.look()
		f.startWave(1, names[:4], 4, deadline)
		f.startWave(2, names[4:], 2, deadline)
		away.watch(deadline)
		f.checkWavesEnded(1, 2)
		away.check()
		moves, allowed := 0, 2*vms+2
		for _, starts := range away.starts {
			moves += starts - 1
		}
		if moves > allowed {
			t.Errorf("%d moves of %d tasks, at most %d are needed", moves, 2*vms, allowed)
		}
	})
}

// TestLongRunningTasksWithoutOtherRoomReturnWithTheirVM guards against a wave that never ends, or tasks that never return, where no other VM has room for them.
func TestLongRunningTasksWithoutOtherRoomReturnWithTheirVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, deadline = 2, 27 * time.Second
		f := newFixture(t, time.Hour)
		f.replaceWorkers(2 * time.Second)
		var names []string
		for i := range vms {
			f.addVM(fmt.Sprint("w", i), "svc")
			names = append(names, fmt.Sprint("vm-w", i))
		}
		f.lead()
		defer f.depose()
		time.Sleep(6 * time.Second)
		f.submit(jobA, workload.Step{Count: vms, Need: workload.Resources{MilliCPU: 5000}, LongRunning: true, DisruptionBudget: 1})
		time.Sleep(time.Second)
		f.startWave(1, names, vms, deadline)
		away := newAbsences(f, map[string]int{jobA: vms})
		away.watch(deadline)
		f.checkWavesEnded(1)
		away.check()
	})
}

// TestCordonIsLiftedWhenItsRoomIsNeeded guards against tasks that wait for good: a worker crashed after the VMs were cordoned whose room its tasks need.
func TestCordonIsLiftedWhenItsRoomIsNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 3
		f := newFixture(t, time.Hour)
		names, jobs := f.leadLabelledPool(vms)
		defer f.depose()
		f.vms.refusal = execution.VMOverloaded
		f.startWave(1, names[:2], vms, 20*time.Second)
		time.Sleep(3 * time.Second)
		f.workers.mu.Lock()
		lost := f.workers.workers["w2"]
		lost.unreachable = true
		f.workers.crash(lost)
		lost.notifyChanged()
		f.workers.mu.Unlock()
		// The lease of the worker has to expire first.
		time.Sleep(longestLease * time.Millisecond)
		away := newAbsences(f, twoOfEach(jobs))
		away.watch(longestAbsence + time.Second)
		away.check()
	})
}

// TestTaskThatHasJustStartedIsNotMovedOn guards against a task that goes from VM to VM without being at work: each wave stopped it as it came.
func TestTaskThatHasJustStartedIsNotMovedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, deadline = 4, 30 * time.Second
		f := newFixture(t, time.Hour)
		f.workers.startup = 800 * time.Millisecond
		names, jobs := f.leadLabelledPool(vms)
		defer f.depose()
		time.Sleep(f.workers.startup)
		away := newAbsences(f, twoOfEach(jobs))
		for i, name := range names {
			f.startWave(int64(i+1), []string{name}, 1, deadline)
			away.watch(300 * time.Millisecond)
		}
		away.watch(deadline)
		f.checkWavesEnded(1, 2, 3, 4)
		if f.workers.stoppedEarly > 0 {
			t.Errorf("%d tasks were stopped before they were at work", f.workers.stoppedEarly)
		}
		away.check()
	})
}

// checkFirstOfWavesInSeries starts a wave of some length over a whole pool each 2 s, and
// reports VMs without maintenance for the first of them after 16 s.
func checkFirstOfWavesInSeries(t *testing.T, length time.Duration) {
	const vms, waves, interval = 6, 8, 2 * time.Second
	f := newFixture(t, time.Hour)
	names, jobs := f.leadLabelledPool(vms)
	defer f.depose()
	away := newAbsences(f, twoOfEach(jobs))
	for wave := range int64(waves) {
		f.startWave(wave+1, names, vms, length)
		away.watch(interval)
	}
	f.checkWavesEnded(1)
	away.check()
}

// TestWavesInSeriesAllEnd guards against VMs that stay late for good: each that was down counted as one that brings room, though the next wave waited for it.
func TestWavesInSeriesAllEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkFirstOfWavesInSeries(t, 2*time.Second) })
}

// TestBusyVMOfAFormerOrderCountsAgainstTheCap guards against one VM too many that is down: a former leader's order was executed after the list was read, and the VM is busy.
func TestBusyVMOfAFormerOrderCountsAgainstTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.leadPool(2)
		defer f.depose()
		// The next list is due 4 s later.
		time.Sleep(6 * time.Second)
		f.vms.mu.Lock()
		f.vms.vms["vm-w0"].State = execution.VMMaintenance
		f.vms.mu.Unlock()
		f.commitUnseen(&workstate.Command{Wave: &workstate.Wave{Number: 1, VMs: []string{"vm-w0", "vm-w1"}, Cap: 1, DeadlineMS: time.Now().Add(30 * time.Second).UnixMilli()}})
		f.commit(&workstate.Command{Maintenance: &workstate.Maintenance{Wave: 1, VM: "vm-w0"}})
		time.Sleep(500 * time.Millisecond)
		if f.vms.maxDown > 0 {
			t.Error("vm-w1 went down while vm-w0 was, the cap is 1")
		}
	})
}

// TestWaveEndsByItsDeadlineBesideLaterOnes guards against a wave that is late because idle VMs of waves with later deadlines go first.
func TestWaveEndsByItsDeadlineBesideLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkFirstOfWavesInSeries(t, 16*time.Second) })
}
