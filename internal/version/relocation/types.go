package relocation

import "arbutusward.example/arbutusward/internal/version/workload"

// Task is a long-running task that needs a place if its worker closes.
type Task struct {
	Step    workload.StepID
	Service string
	// Charge is the part of a worker's capacity that the task takes.
	Charge workload.Resources
	// MaxPerWorker limits the step's tasks on a worker; 0 means no limit.
	MaxPerWorker int
	// Label, if not empty, must be among the worker's labels.
	Label string
	// Budget is the number of the step's tasks that may be unavailable at the same
	// time by order; -1 means no limit.
	Budget int
}

// Worker is a registered worker.
type Worker struct {
	ID      string
	Service string
	Labels  []string
	// Open is set if the worker accepts new tasks.
	Open bool
	// Room is the capacity that the long-running tasks leave. The others end soon, and
	// waiting long-running tasks start before them.
	Room workload.Resources
	// Tasks lists the long-running tasks on the worker.
	Tasks []Task
	// DrainPending is set if the worker waits to be drained too.
	DrainPending bool
	// Closing is set if the worker was closed by the plan before this one.
	Closing bool
}

// Pool describes the workers of a service together.
type Pool struct {
	// Load is what runs in the pool, in mean VMs.
	Load float64
	// Away is the number of VMs that are down and come back into the pool. Returning
	// counts those among them that do not wait to be drained once they are back.
	Away, Returning int
	// Yields is set if the pool has to give VMs to other pools although it needs them.
	// Kept is the number of its workers that stay open then.
	Yields bool
	Kept   int
}

// Pressure tells for what a worker has to close, and how close the deadline is.
type Pressure uint8

const (
	// Relaxed keeps as many workers open as the load of the pool needs.
	Relaxed Pressure = iota
	// Yielding is Relaxed for a VM that is to move to another pool: it keeps open what a
	// pool keeps that yields VMs.
	Yielding
	// Urgent keeps at most half of the pool open for its load.
	Urgent
	// Pressing also lets tasks move to workers that wait to be drained too, although
	// other VMs come back soon: it would be too late to wait for these.
	Pressing
)

// Snapshot is what a plan is computed from.
type Snapshot struct {
	Workers []Worker
	// Pools holds the pools by service.
	Pools map[string]Pool
	// Waiting lists the long-running tasks that have no worker.
	Waiting []Task
	// Unavailable counts the tasks of each step that are not at work.
	Unavailable map[workload.StepID]int
}
