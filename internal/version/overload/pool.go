package overload

import (
	"time"

	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Pool is a snapshot of a pool of workers. Work is in dominant core seconds: a task
// counts as many cores as its largest share of the pool's room makes.
type Pool struct {
	// Room is what the workers that accept tasks have for tasks that end. Planned is
	// the same with the VMs that are about to join the pool.
	Room, Planned workload.Resources
	// InUse is what executes, in dominant cores, and Running the work that it has left.
	InUse, Running float64
	// WaitingTasks counts the tasks that could start if there was room.
	WaitingTasks int
	Backlogs     []Backlog
	// Limits holds the quotas of accounts in dominant cores.
	Limits map[string]float64
	// Arrivals is the owed work that arrives per second.
	Arrivals float64
}

// Backlog is the work of one account and queue priority that has not started. Work of
// jobs that are of no use any more is not included, since it goes last.
type Backlog struct {
	// Account is "" for jobs without an account.
	Account string
	// Weight is the account's fair share relative to those of the others.
	Weight   float64
	Priority int
	// Owed is the work of jobs within their account's rate, OverRate that of the others.
	Owed, OverRate float64
}

// DominantCores returns how many cores of a room a need takes: those that it names, or
// as many as have its share of the memory if that is more.
func DominantCores(need, room workload.Resources) float64 {
	cores := float64(need.MilliCPU) / workload.MilliPerCore
	if room.MemoryMB <= 0 {
		return cores
	}
	return max(cores, float64(need.MemoryMB)/float64(room.MemoryMB)*float64(room.MilliCPU)/workload.MilliPerCore)
}

// LimitAccount records the quota of an account, of which a figure of 0 means no limit. Its
// tasks are taken to need the resources in about that proportion.
func (p *Pool) LimitAccount(account string, limit workload.Resources) {
	cores := DominantCores(limit, p.Room)
	if cores <= 0 {
		return
	}
	if p.Limits == nil {
		p.Limits = map[string]float64{}
	}
	p.Limits[account] = cores
}

// reachable returns the part of an account's work that its quota lets execute while a job
// of another account is of use.
func (p *Pool) reachable(account string, work float64, j *Job) float64 {
	limit, limited := p.Limits[account]
	if !limited || account == j.Account {
		return work
	}
	return min(work, limit*placement.Useful(j.Objective).Seconds())
}

// cores returns the dominant cores that work off the backlog.
func (p *Pool) cores() float64 {
	return workload.PackingRatio * float64(p.Planned.MilliCPU) / workload.MilliPerCore
}

// full reports whether tasks wait because the pool has no room. Tasks of an account
// that has used up its quota wait in a pool that has room.
func (p *Pool) full() bool {
	return p.WaitingTasks > 0 && p.InUse >= fullRatio*float64(p.Room.MilliCPU)/workload.MilliPerCore
}

// drainShare returns the share of the room that works off the backlog, if owed jobs keep
// coming as in the last seconds.
func (p *Pool) drainShare() float64 { return max(minDrainShare, 1-p.Arrivals/p.cores()) }

// arrivalWindow is the time over which arrivals are averaged. Few jobs end before it.
const arrivalWindow = 2 * time.Second

// AddArrival adds an owed job that arrived some time ago.
func (p *Pool) AddArrival(work float64, age time.Duration) {
	if age < arrivalWindow {
		p.Arrivals += work / arrivalWindow.Seconds()
	}
}

// Add adds work to the backlog of an account and priority.
func (p *Pool) Add(account string, weight float64, priority int, overRate bool, work float64) {
	b := p.backlog(account, weight, priority)
	if overRate {
		b.OverRate += work
		return
	}
	b.Owed += work
}

func (p *Pool) backlog(account string, weight float64, priority int) *Backlog {
	for i := range p.Backlogs {
		if b := &p.Backlogs[i]; b.Account == account && b.Priority == priority {
			return b
		}
	}
	p.Backlogs = append(p.Backlogs, Backlog{Account: account, Weight: weight, Priority: priority})
	return &p.Backlogs[len(p.Backlogs)-1]
}

// Remaining returns how long a run that has executed for some time is expected to
// execute further. One that has outlasted the expectation is likely to be one of the
// few that take several times as long.
func Remaining(expected, executed time.Duration) time.Duration {
	if executed < expected {
		return expected - executed
	}
	return expected
}
