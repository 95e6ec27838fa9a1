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

// task is one attempt on a stand-in worker. Its payload is a list of words:
// run=MS sets its run time, uses=SHARE its use as a share of what it holds,
// fail=1 makes it fail, nocheckpoint=1 makes it ignore that order.
type task struct {
	order   workerapi.TaskOrder
	started time.Time
	// leaseEnds is when the task stops unless it is renewed.
	leaseEnds time.Time
	state     workerapi.TaskState
	ended     time.Time
	reason    string
}

// taskTable holds the tasks of one worker, and what runs were begun.
type taskTable struct {
	tasks map[string]*task
	// begun counts the attempts begun by job.
	begun map[string]int
	// failAll makes every task fail at once.
	failAll bool
	boot    string
	booted  time.Time
}

// SetFailAll makes a worker fail every task it starts.
func (p *Platform) SetFailAll(vm string, fail bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm].tasks.failAll = fail
}

// TasksRunning returns the jobs that run on each VM at this moment.
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
	c.JSON(http.StatusOK, machine.tasks.sync(body))
}

func (t *taskTable) sync(body workerapi.Sync) workerapi.SyncAnswer {
	if t.tasks == nil {
		t.tasks = map[string]*task{}
		t.begun = map[string]int{}
		t.boot = rand.Text()
		t.booted = time.Now()
	}
	for _, ref := range body.Forget {
		if known := t.tasks[ref.Job]; known != nil && known.order.Epoch == ref.Epoch && known.state.Ended() {
			delete(t.tasks, ref.Job)
		}
	}
	if body.AsOf.Boot == t.boot {
		leaseEnds := t.booted.Add(time.Duration(body.AsOf.MS+body.LeaseMS) * time.Millisecond)
		for _, order := range body.Tasks {
			t.take(order, leaseEnds)
		}
	}
	now := workerapi.Stamp{Boot: t.boot, MS: time.Since(t.booted).Milliseconds()}
	answer := workerapi.SyncAnswer{Now: now, Tasks: []workerapi.TaskInfo{}}
	for _, known := range t.tasks {
		known.advance(t.failAll)
		answer.Tasks = append(answer.Tasks, known.info())
	}
	return answer
}

// take starts, renews or orders one task.
func (t *taskTable) take(order workerapi.TaskOrder, leaseEnds time.Time) {
	now := time.Now()
	known := t.tasks[order.Job]
	if known != nil && known.order.Epoch > order.Epoch {
		return
	}
	if known == nil || known.order.Epoch < order.Epoch {
		known = &task{order: order, started: now, state: workerapi.Running}
		t.tasks[order.Job] = known
		t.begun[order.Job]++
	}
	if leaseEnds.After(known.leaseEnds) {
		known.leaseEnds = leaseEnds
	}
	known.order.Order = order.Order
	switch {
	case known.state.Ended():
	case order.Order == jobplan.Stop:
		known.end(workerapi.Stopped, "ordered")
	case order.Order == jobplan.Checkpoint && known.word("nocheckpoint") == "":
		known.state = workerapi.Checkpointed
	}
}

// advance ends a task whose time or lease is over.
func (t *task) advance(failAll bool) {
	now := time.Now()
	runMS, err := strconv.Atoi(t.word("run"))
	switch {
	case t.state.Ended():
	case failAll || t.word("fail") != "":
		t.end(workerapi.Failed, "the task exited with an error")
	case now.After(t.leaseEnds):
		t.end(workerapi.Stopped, "its lease ended")
	case err == nil && now.Sub(t.started) >= time.Duration(runMS)*time.Millisecond:
		t.end(workerapi.Done, "")
	}
}

func (t *task) end(state workerapi.TaskState, reason string) {
	t.state = state
	t.reason = reason
	t.ended = time.Now()
}

// word returns the value of a word of the payload, "" if it is not there.
func (t *task) word(name string) string {
	for word := range strings.FieldsSeq(t.order.Payload) {
		if value, found := strings.CutPrefix(word, name+"="); found {
			return value
		}
	}
	return ""
}

func (t *task) info() workerapi.TaskInfo {
	share, err := strconv.ParseFloat(t.word("uses"), 64)
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
