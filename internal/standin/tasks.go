package standin

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/connection/workerapi"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
)

// task is one attempt of a job on a simulated worker. These options in its
// payload, separated by white space, control what it does:
//
//	run=MS          sets its run time; without it the task never finishes
//	uses=SHARE      sets its resource usage as a share of its reservation, 1 by default
//	fail=1          makes it fail at once
//	nocheckpoint=1  makes it ignore checkpoint orders
type task struct {
	order   workerapi.TaskOrder
	started time.Time
	// leaseExpiry is when the task stops unless its lease is renewed.
	leaseExpiry time.Time
	state       workerapi.TaskState
	ended       time.Time
	reason      string
}

// taskTable holds the tasks of one worker since its boot.
type taskTable struct {
	tasks map[string]*task
	// started is the number of attempts started for each job.
	started map[string]int
	// failAll is set if every task fails at once.
	failAll bool
	// boot identifies the boot of the worker, booted is its time, and clockStartMS what
	// the worker's clock showed then. All are set by the first call after the boot.
	boot         string
	booted       time.Time
	clockStartMS int64
}

// SetFailAll sets whether all tasks on a worker fail at once.
func (p *Platform) SetFailAll(vm string, fail bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm].tasks.failAll = fail
}

// TasksRunning returns, for each job that is running now, the VMs on which it
// runs.
func (p *Platform) TasksRunning() map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := map[string][]string{}
	for name, machine := range p.vms {
		for job, t := range machine.tasks.tasks {
			t.advance(machine.tasks.failAll)
			if !t.state.Ended() {
				running[job] = append(running[job], name)
			}
		}
	}
	return running
}

// syncTasks handles a call of the worker protocol.
func (p *Platform) syncTasks(c *gin.Context) {
	var body workerapi.Sync
	if err := c.ShouldBindJSON(&body); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"code": "malformed", "message": err.Error()})
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	machine := p.vms[c.Param("vm")]
	if machine == nil || machine.info.State != Running {
		c.JSON(http.StatusServiceUnavailable, gin.H{"code": "off", "message": "the VM does not run"})
		return
	}
	c.JSON(http.StatusOK, machine.tasks.sync(body, machine.info.Boots))
}

// sync applies the orders of a call and returns the state of all tasks. A call
// with a stamp of another boot starts and renews nothing. boots is the number of
// times that the VM has booted.
func (t *taskTable) sync(body workerapi.Sync, boots int) workerapi.SyncAnswer {
	if t.tasks == nil {
		t.tasks = map[string]*task{}
		t.started = map[string]int{}
		t.boot = rand.Text()
		t.booted, t.clockStartMS = time.Now(), ClockStartMS(boots)
	}
	for _, ref := range body.Forget {
		if known := t.tasks[ref.Job]; known != nil && known.order.Epoch == ref.Epoch && known.state.Ended() {
			delete(t.tasks, ref.Job)
		}
	}
	if body.AsOf.Boot == t.boot {
		leaseExpiry := t.booted.Add(time.Duration(body.AsOf.MS-t.clockStartMS+body.LeaseMS) * time.Millisecond)
		for _, order := range body.Tasks {
			t.apply(order, leaseExpiry)
		}
	}
	now := workerapi.Stamp{Boot: t.boot, MS: t.clockStartMS + time.Since(t.booted).Milliseconds()}
	answer := workerapi.SyncAnswer{Now: now, Tasks: []workerapi.TaskInfo{}}
	for _, known := range t.tasks {
		known.advance(t.failAll)
		answer.Tasks = append(answer.Tasks, known.info())
	}
	return answer
}

// apply starts a task or renews its lease, and executes a checkpoint or stop
// order. It does nothing if the epoch is older than that of the known task.
func (t *taskTable) apply(order workerapi.TaskOrder, leaseExpiry time.Time) {
	now := time.Now()
	known := t.tasks[order.Job]
	if known != nil && known.order.Epoch > order.Epoch {
		return
	}
	if known == nil || known.order.Epoch < order.Epoch {
		known = &task{order: order, started: now, state: workerapi.Running}
		t.tasks[order.Job] = known
		t.started[order.Job]++
	}
	if leaseExpiry.After(known.leaseExpiry) {
		known.leaseExpiry = leaseExpiry
	}
	known.order.Order = order.Order
	switch {
	case known.state.Ended():
	case order.Order == jobplan.Stop:
		known.end(workerapi.Stopped, "ordered")
	case order.Order == jobplan.Checkpoint && known.option("nocheckpoint") == "":
		known.state = workerapi.Checkpointed
	}
}

// advance ends a task that is to fail, whose lease has expired or whose run
// time is over.
func (t *task) advance(failAll bool) {
	now := time.Now()
	runMS, err := strconv.Atoi(t.option("run"))
	switch {
	case t.state.Ended():
	case failAll || t.option("fail") != "":
		t.end(workerapi.Failed, "the task exited with an error")
	case now.After(t.leaseExpiry):
		t.end(workerapi.Stopped, "its lease ended")
	case err == nil && now.Sub(t.started) >= time.Duration(runMS)*time.Millisecond:
		t.end(workerapi.Done, "")
	}
}

// end records how the task ended.
func (t *task) end(state workerapi.TaskState, reason string) {
	t.state = state
	t.reason = reason
	t.ended = time.Now()
}

// option returns the value of an option in the payload, or "" if it is not set.
func (t *task) option(name string) string {
	for field := range strings.FieldsSeq(t.order.Payload) {
		if value, found := strings.CutPrefix(field, name+"="); found {
			return value
		}
	}
	return ""
}

// info returns the worker's report on the task.
func (t *task) info() workerapi.TaskInfo {
	share, err := strconv.ParseFloat(t.option("uses"), 64)
	if err != nil {
		share = 1
	}
	used := fleet.Resources{CPUCores: share * t.order.Reservation.CPUCores, MemoryGiB: share * t.order.Reservation.MemoryGiB, Accelerators: t.order.Reservation.Accelerators}
	end := t.ended
	if end.IsZero() {
		end = time.Now()
	}
	return workerapi.TaskInfo{Job: t.order.Job, Epoch: t.order.Epoch, State: t.state, PeakUsage: used, RunMS: end.Sub(t.started).Milliseconds(), Reason: t.reason}
}
