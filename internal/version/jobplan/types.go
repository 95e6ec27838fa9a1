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

// Final reports whether the job has ended.
func (p Phase) Final() bool { return p == Done || p == Failed || p == Cancelled }

// Order is an instruction to a running task.
type Order string

// Orders of preemption, in the order of escalation.
const (
	NoOrder    Order = ""
	Checkpoint Order = "checkpoint"
	Throttle   Order = "throttle"
	Stop       Order = "stop"
)

// Job describes one job to the planner.
type Job struct {
	ID   string
	Team string
	// Kind groups jobs of similar size; sizes are estimated per team and kind.
	Kind   string
	Urgent bool
	// Declared is the size that the submitter declared; it is often wrong.
	Declared fleet.Resources
	// Pools lists the pools in which the job may run. If it is empty, the job
	// may run in every pool with a job share.
	Pools []string
	Phase Phase
	// SubmittedMS orders jobs of equal priority, in Unix milliseconds.
	SubmittedMS int64
	// Worker is the worker of a running job, Reserved the resources reserved
	// for it there and StartedMS its start, in Unix milliseconds.
	Worker    string
	Reserved  fleet.Resources
	StartedMS int64
	// Order is the newest order to the task, OrderMS the time at which it was
	// given.
	Order   Order
	OrderMS int64
	// Checkpointed is true if a checkpoint of the job is recorded. It may be
	// older than the order.
	Checkpointed bool
	// Used is the last reported use, which lags behind the current use.
	Used fleet.Resources
	// AvoidWorkers lists the workers on which the job has failed.
	AvoidWorkers []string
	// Reason is the last reason given why the job cannot run.
	Reason string
}

// Worker describes one VM to the planner.
type Worker struct {
	Name string
	Pool string
	Rack string
	// Capacity is the amount of resources available to jobs on the worker.
	Capacity fleet.Resources
	// Schedulable is true if new tasks may start. It is false while the VM
	// drains.
	Schedulable bool
	// Unresponsive is true if the worker has not answered recently. No new
	// task is placed on it; its running tasks continue until their leases
	// expire.
	Unresponsive bool
	// Quarantined is true if too many tasks have failed on the worker. Probe
	// permits one task on a quarantined worker, to test whether it has
	// recovered.
	Quarantined bool
	Probe       bool
}

// Input is the snapshot from which a plan is made.
type Input struct {
	// NowMS is the time of the snapshot, in Unix milliseconds.
	NowMS   int64
	Jobs    []Job
	Workers []Worker
	// Quotas limits the resources reserved for each team's running jobs.
	Quotas map[string]fleet.Resources
	// Observed holds the use of finished jobs, by KindKey.
	Observed map[string][]Observation
}

// Observation is the peak use of one finished job.
type Observation struct {
	Used fleet.Resources `cbor:"1,keyasint" json:"used"`
	// RunMS is the run time, in milliseconds.
	RunMS int64 `cbor:"2,keyasint" json:"run_ms"`
}

// KindKey returns the key of the group of jobs that share estimates.
func KindKey(team, kind string) string { return team + "/" + kind }

// Placement starts a job on a worker.
type Placement struct {
	Job, Worker string
	// Reservation is the amount of resources to reserve for the job, by
	// estimate.
	Reservation fleet.Resources
}

// Preemption gives an order to a running task.
type Preemption struct {
	Job   string
	Order Order
	// Reason is why the task is preempted.
	Reason string
}

// Blocked is a job that can never run with the declared quotas and workers.
type Blocked struct{ Job, Reason string }

// Plan is a list of proposed steps.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	Blocked     []Blocked
}
