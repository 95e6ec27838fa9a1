package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/version/relocation"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// startUpEstimate is the estimated time from the end of a stopped long-running task until
// it is at work on another worker.
const startUpEstimate = 1300 * time.Millisecond

// arrivalTime is how long a long-running task that was started and is not at work yet is
// not moved again.
const arrivalTime = 1500 * time.Millisecond

// evacuationTime returns the estimated time from the stop of a long-running task until it
// is at work on another worker, when the next one of its step may be stopped.
func (l Limits) evacuationTime() time.Duration { return startUpEstimate + l.StopTimeout }

// evacuation chooses the VMs of a wave whose long-running tasks leave already while
// their pools are busy, because a step's disruption budget lets them leave only a
// few at a time.
type evacuation struct {
	// due is set if some step's tasks need the rest of the time until the deadline.
	due   bool
	usage *usage
	// perTask is how long one task of a step takes to leave.
	perTask time.Duration
	// admitted counts the tasks of each step on the VMs that were admitted.
	admitted map[workload.StepID]int
}

// newEvacuation returns the evacuation of the VMs of a wave that wait for their
// maintenance.
func newEvacuation(u *usage, waiting []maintenanceVM, remaining, perTask time.Duration) *evacuation {
	e := &evacuation{usage: u, perTask: perTask, admitted: map[workload.StepID]int{}}
	e.due = remaining < e.duration(waiting)+drainTime+deadlineReserve
	return e
}

// duration returns the estimated time until the long-running tasks of the VMs have
// left.
func (e *evacuation) duration(waiting []maintenanceVM) time.Duration {
	longest := time.Duration(0)
	counts := map[workload.StepID]int{}
	for i := range waiting {
		for _, t := range e.tasksOn(&waiting[i]) {
			counts[t.Step]++
			rounds := (counts[t.Step] + t.atOnce() - 1) / t.atOnce()
			longest = max(longest, time.Duration(rounds)*e.perTask)
		}
	}
	return longest
}

// admits reports whether a VM is cordoned now although its pool is busy: its
// long-running tasks can leave next, or have left since it was cordoned.
func (e *evacuation) admits(vm *maintenanceVM) bool {
	tasks := e.tasksOn(vm)
	if !e.due || len(tasks) == 0 {
		return e.due && vm.rank == rankCordoned
	}
	for i := range tasks {
		if e.admitted[tasks[i].Step] >= tasks[i].atOnce() {
			return false
		}
	}
	for i := range tasks {
		e.admitted[tasks[i].Step]++
	}
	return true
}

// tasksOn returns the long-running tasks on a VM.
func (e *evacuation) tasksOn(vm *maintenanceVM) []longRunningTask {
	if vm.worker == nil {
		return nil
	}
	return e.usage.load(vm.worker).longRunning
}

// evacuate stops long-running tasks of a worker so that they start on other
// workers. It keeps to their disruption budgets.
func (l *loop) evacuate(u *usage, w *worker, now time.Time) {
	for _, t := range u.load(w).longRunning {
		r := l.runs.Get(t.id)
		if r == nil || r.phase == runStopping || r.phase == runStopped || r.calling || t.isArriving(r, now) {
			continue
		}
		// The report may be older than the moment at which the task started
		// work. Therefore the task itself does not count as unavailable,
		// whatever the report shows.
		others := u.unavailable[t.Step]
		if !t.atWork {
			others--
		}
		if t.Budget >= 0 && others >= t.Budget {
			continue
		}
		u.unavailable[t.Step] = others + 1
		l.Log.Info("stopping long-running task, its VM is drained", "task", t.id.String(), "run", r.number, "worker", w.reg.ID, "unavailable", u.unavailable[t.Step], "budget", t.Budget)
		l.sendStop(t.id, r, now)
	}
}

// longRunningTask is an executing long-running task.
type longRunningTask struct {
	relocation.Task
	id workload.TaskID
	// atWork is set if the newest report of the worker shows the task at work.
	atWork bool
}

// isArriving reports whether the task has been started a moment ago. It is not moved
// again before it is at work.
func (t *longRunningTask) isArriving(r *run, now time.Time) bool {
	return !t.atWork && now.Sub(r.since) < arrivalTime
}

// atOnce returns how many tasks of the step may leave their workers at a time.
func (t *longRunningTask) atOnce() int { return max(t.Budget, 1) }

// countLongRunning records an executing long-running task. It counts the task
// as unavailable unless it is at work.
func (u *usage) countLongRunning(id workload.TaskID, step *workload.Step, w *worker, atWork bool) {
	if w != nil {
		load := u.load(w)
		load.longRunning = append(load.longRunning, longRunningTask{Task: newRelocationTask(id, step, w.reg.Service), id: id, atWork: atWork})
	}
	if !atWork {
		u.unavailable[id.StepID()]++
	}
}

// atWork reports whether a long-running task was at work, and not merely started,
// in the last report of its worker, no order for it has been sent since, and its
// VM is listed as up.
func (l *loop) atWork(r *run, w *worker, key runKey) bool {
	if w == nil || w.report == nil || w.unresponsive || r.phase != runOrdered {
		return false
	}
	if e := l.fleet.entries[w.reg.VM]; e != nil && e.vm.State != execution.VMUp {
		return false
	}
	return w.report.running[key].Percent == atWorkPercent
}

// atWorkPercent is the progress that reports show for a long-running task at
// work.
const atWorkPercent = 100
