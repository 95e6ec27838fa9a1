package jobplan

import "arbutusward.example/arbutusward/internal/version/fleet"

// Phase is the state of a job.
type Phase string

// Phases of a job. Done, Failed and Cancelled are final.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Done      Phase = "done"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Final says that the job has ended.
func (p Phase) Final() bool { return p == Done || p == Failed || p == Cancelled }

// Order is what a running task was told to do.
type Order string

// Orders of preemption, in the order in which they are tried.
const (
	NoOrder    Order = ""
	Checkpoint Order = "checkpoint"
	Throttle   Order = "throttle"
	Stop       Order = "stop"
)

// Job is one job as the planner sees it.
type Job struct {
	ID   string
	Team string
	// Kind groups jobs of like size; estimates are made per team and kind.
	Kind   string
	Urgent bool
	// Declared is the size the submitter gave; it is often wrong.
	Declared fleet.Resources
	// Pools lists the pools the job may run in; none means every pool
	// with a job share.
	Pools []string
	Phase Phase
	// SubmittedMS orders jobs of equal rank, in Unix milliseconds.
	SubmittedMS int64
	// Worker holds the running job's worker, Held what it is charged for,
	// StartedMS its start.
	Worker    string
	Reserved  fleet.Resources
	StartedMS int64
	// Order is the newest order to the task, OrderMS when it was given.
	Order   Order
	OrderMS int64
	// Checkpointed says that the task saved its work under the order.
	Checkpointed bool
	// Used is the last reported use; it lags.
	Used fleet.Resources
	// AvoidWorkers lists workers on which the job failed.
	AvoidWorkers []string
	// Reason is the last reason given for a job that cannot run.
	Reason string
}

// Worker is one VM as the planner sees it.
type Worker struct {
	Name string
	Pool string
	Rack string
	// Capacity is what jobs may hold together.
	Capacity fleet.Resources
	// Schedulable says that new tasks may start; it is false while the VM drains.
	Schedulable bool
	// Unresponsive says that the worker did not answer of late: nothing new is
	// placed on it, and what runs there is left to its lease.
	Unresponsive bool
	// Quarantined says that the worker failed too many tasks. Probe lets
	// one task through to see whether it has recovered.
	Quarantined bool
	Probe       bool
}

// Input is the snapshot a plan is made from.
type Input struct {
	// NowMS is the time of the plan, in Unix milliseconds.
	NowMS   int64
	Jobs    []Job
	Workers []Worker
	// Quotas bounds what each team's running jobs hold.
	Quotas map[string]fleet.Resources
	// Observed holds what finished jobs used, by KindKey.
	Observed map[string][]Observation
}

// Observation is what one finished job used at its peak.
type Observation struct {
	Used fleet.Resources `cbor:"1,keyasint" json:"used"`
	// RunMS is the run time, in milliseconds.
	RunMS int64 `cbor:"2,keyasint" json:"run_ms"`
}

// KindKey names the group of jobs that share estimates.
func KindKey(team, kind string) string { return team + "/" + kind }

// Placement starts a job on a worker.
type Placement struct {
	Job, Worker string
	// Reservation is what the job is charged for, by estimate.
	Reservation fleet.Resources
}

// Preemption gives an order to a running task.
type Preemption struct {
	Job   string
	Order Order
	// Reason says for what the task has to yield.
	Reason string
}

// Blocked names a job that can never run as things are declared.
type Blocked struct{ Job, Reason string }

// Plan is a list of steps.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	Blocked     []Blocked
}
