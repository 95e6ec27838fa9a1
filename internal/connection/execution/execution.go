// Package execution describes how the scheduler talks to workers and to the
// platform's VMs, independent of the protocol that carries it.
package execution

import (
	"context"
	"errors"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// ErrNoAnswer says that a call may be carried out, now or later.
var ErrNoAnswer = errors.New("no answer, the order may be carried out later")

// ErrMalformedAnswer says that an answer could not be read.
var ErrMalformedAnswer = errors.New("the answer could not be read")

// WorkerAddress names the life of a worker that a call is for.
type WorkerAddress struct {
	ID string
	// Address is HOST:PORT.
	Address string
}

// Refusal says why an order was not carried out.
type Refusal string

// Reasons for a refusal. After each of them nothing was done.
const (
	Accepted Refusal = ""
	// RefusedFencingToken: a newer leader has called the worker.
	RefusedFencingToken Refusal = "fence"
	// RefusedStaleRun: the run, or a later one, has ended or was stopped there.
	RefusedStaleRun Refusal = "old"
	// RefusedLeaseExpired: the order's lease had passed.
	RefusedLeaseExpired Refusal = "late"
	// RefusedCapacity: the task does not fit.
	RefusedCapacity Refusal = "room"
	// RefusedTicket: the order lacks a valid ticket of the adviser.
	RefusedTicket Refusal = "ticket"
	// RefusedUnhealthy: the worker cannot start anything now.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedOtherIncarnation: another worker answers at the address.
	RefusedOtherIncarnation Refusal = "other_life"
	// RefusedOther: the worker did not understand, or gave no known reason.
	RefusedOther Refusal = "other"
)

// Answer is a worker's reply to an order.
type Answer struct {
	Refusal Refusal
	// ClockMS is the worker's steady clock, 0 if it was not told.
	ClockMS int64
}

// StartOrder starts one run.
type StartOrder struct {
	Task    workload.TaskID
	Run     int
	Payload string
	// LeaseUntilMS is on the worker's clock.
	LeaseUntilMS int64
	FencingToken uint64
	// Checkpoint is what the run resumes from; "" is the beginning.
	Checkpoint string
	// Ticket is the adviser's leave to run the step on the worker; "" where
	// none is needed.
	Ticket string
}

// Watch asks a worker for its runs and extends its lease.
type Watch struct {
	FencingToken uint64
	// LeaseUntilMS is on the worker's clock; 0 leaves the lease as it is.
	LeaseUntilMS int64
	// AckedEnd is the number of the newest end that is durably recorded;
	// the worker forgets ends up to it.
	AckedEnd int64
	// WaitMS is how long the worker may hold the answer until a run ends.
	WaitMS int
}

// RunningTask is a run that a worker executes.
type RunningTask struct {
	Task       workload.TaskID
	Run        int
	Checkpoint string
	// Percent is the share of work done; 100 in a long-running task that
	// is at work.
	Percent int
	// Usage is the tail latency in ms of a task that serves, and the
	// thousandths of a core in use by any other.
	Usage int64
}

// EndedRun is a run that has ended on a worker.
type EndedRun struct {
	// Number counts the ends of one life of the worker, from 1.
	Number     int64
	Task       workload.TaskID
	Run        int
	Reason     EndReason
	Checkpoint string
}

// EndReason is how a run ended.
type EndReason string

// Ways in which a run ends on a worker.
const (
	ReasonDone         EndReason = "done"
	ReasonFailed       EndReason = "failed"
	ReasonStopped      EndReason = "stopped"
	ReasonLeaseExpired EndReason = "lapsed"
	ReasonBroken       EndReason = "broken"
	ReasonAlone        EndReason = "alone"
)

// Report is a worker's answer to a Watch.
type Report struct {
	Refusal Refusal
	ClockMS int64
	// Incarnation is the start of the worker's life in ms of Unix time.
	Incarnation int64
	Running     []RunningTask
	Ended       []EndedRun
}

// Workers sends orders to workers. Errors wrap ErrNoAnswer or
// ErrMalformedAnswer; after either the order may be carried out later.
type Workers interface {
	Start(ctx context.Context, to WorkerAddress, order StartOrder) (Answer, error)
	Stop(ctx context.Context, to WorkerAddress, task workload.TaskID, run int, fence uint64) (Answer, error)
	Watch(ctx context.Context, to WorkerAddress, watch Watch) (Report, error)
	// Throttle limits a run to a share of its speed, 0 to 100 percent.
	Throttle(ctx context.Context, to WorkerAddress, task workload.TaskID, run, percent int, fence uint64) (Answer, error)
	// Forget closes the connections to an address.
	Forget(address string)
}

// VMState is the platform's word on a VM.
type VMState string

// States of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving"
	VMMaintenance VMState = "upkeep"
	VMDown        VMState = "down"
)

// VM is one machine that workers live on.
type VM struct {
	ID string
	// Pool is the service whose worker lives on the VM.
	Pool     string
	State    VMState
	Zone     string
	Labels   []string
	Capacity workload.Resources
	// Worker is the id of the VM's present worker, "" if there is none.
	Worker string
}

// VMRefusal says why the platform did not act on a VM.
type VMRefusal string

// Reasons of the platform. After each of them nothing was done.
const (
	VMAccepted VMRefusal = ""
	// VMRefusedFencingToken: a newer leader has acted on the VM.
	VMRefusedFencingToken VMRefusal = "fence"
	// VMBusy: the VM is not up, or leaves.
	VMBusy VMRefusal = "busy"
	// VMNotInWave: the wave does not name the VM.
	VMNotInWave VMRefusal = "wave"
	// VMOverloaded: too many calls were made.
	VMOverloaded VMRefusal = "overloaded"
	// VMRefusedOther: the call was not understood or names no VM.
	VMRefusedOther VMRefusal = "other"
)

// Platform lists VMs and acts on them. Errors wrap ErrNoAnswer or
// ErrMalformedAnswer.
type Platform interface {
	VMs(ctx context.Context) ([]VM, error)
	Move(ctx context.Context, vm, pool, holder string, fence uint64) (VMRefusal, error)
	StartMaintenance(ctx context.Context, vm string, wave int64, holder string, fence uint64) (VMRefusal, error)
}

// ErrAdviserBusy says that the adviser takes no more calls now.
var ErrAdviserBusy = errors.New("the adviser takes no more calls")

// Adviser knows which workers may run a step.
type Adviser interface {
	// Advise returns the tickets of those among the workers that may run
	// the step JOB.OCCURRENCE.STEP, by worker.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, error)
}
