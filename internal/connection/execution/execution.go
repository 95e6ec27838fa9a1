// Package execution defines the calls that the scheduler makes to workers
// and to the platform that manages the VMs, independent of the wire protocol.
// The calls to workers can be encoded for other processes of the system.
package execution

import (
	"context"
	"errors"
	"fmt"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// ErrNoAnswer is returned when a call got no answer. The order may have been
// executed, or may still be executed later.
var ErrNoAnswer = errors.New("no answer, the order may still be executed")

// ErrConnectionRefused is returned when no process accepts connections at the
// worker's address. It is an ErrNoAnswer.
var ErrConnectionRefused = fmt.Errorf("%w: connection refused", ErrNoAnswer)

// ErrMalformedAnswer is returned when an answer could not be decoded.
var ErrMalformedAnswer = errors.New("the answer could not be read")

// WorkerAddress identifies the worker that a call is for.
type WorkerAddress struct {
	ID string `cbor:"1,keyasint,omitempty"`
	// Address is HOST:PORT.
	Address string `cbor:"2,keyasint,omitempty"`
}

// Refusal is the reason why a worker did not execute an order.
type Refusal string

// Reasons why a worker refuses an order. A refused order has no effect.
const (
	// Accepted means that the worker did not refuse the order.
	Accepted Refusal = ""
	// RefusedFencingToken means that a call with a higher token has reached the
	// worker: of a newer leader, or of the same one for a later incarnation.
	RefusedFencingToken Refusal = "fence"
	// RefusedStaleRun means that the run, or a later run of the same task,
	// has already ended or was stopped on the worker.
	RefusedStaleRun Refusal = "old"
	// RefusedLeaseExpired means that the order's lease had expired.
	RefusedLeaseExpired Refusal = "late"
	// RefusedCapacity means that the worker lacks the capacity for the task.
	RefusedCapacity Refusal = "room"
	// RefusedTicket means that the order has no valid ticket of the adviser.
	RefusedTicket Refusal = "ticket"
	// RefusedUnhealthy means that the worker cannot start any task now.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedOtherWorker means that another worker answers at the address.
	RefusedOtherWorker Refusal = "other_life"
	// RefusedOther means that the worker did not understand the order, or
	// gave an unknown reason.
	RefusedOther Refusal = "other"
)

// Answer is a worker's reply to an order.
type Answer struct {
	Refusal Refusal `cbor:"1,keyasint,omitempty"`
	// ClockMS is a reading of the worker's monotonic clock, or 0 if the
	// answer has none.
	ClockMS int64 `cbor:"2,keyasint,omitempty"`
	// Repeated is set if the order was sent again within the call because its
	// connection was closed. The first one may still be executed, also if this
	// answer is a refusal.
	Repeated bool `cbor:"3,keyasint,omitempty"`
}

// StartOrder orders a worker to start one run of a task.
type StartOrder struct {
	Task    workload.TaskID `cbor:"1,keyasint,omitempty"`
	Run     int             `cbor:"2,keyasint,omitempty"`
	Payload string          `cbor:"3,keyasint,omitempty"`
	// LeaseUntilMS is the end of the lease on the worker's clock.
	LeaseUntilMS int64  `cbor:"4,keyasint,omitempty"`
	FencingToken uint64 `cbor:"5,keyasint,omitempty"`
	// Checkpoint is the checkpoint to resume from, or "" to start from the
	// beginning.
	Checkpoint string `cbor:"6,keyasint,omitempty"`
	// Ticket is the adviser's permit to run the step on the worker, or "" if
	// the step needs none.
	Ticket string `cbor:"7,keyasint,omitempty"`
}

// Watch asks a worker for the state of its runs and extends its lease.
type Watch struct {
	FencingToken uint64 `cbor:"1,keyasint,omitempty"`
	// LeaseUntilMS is the new end of the lease on the worker's clock; 0 does
	// not extend the lease.
	LeaseUntilMS int64 `cbor:"2,keyasint,omitempty"`
	// AckedEnd is the EndedRun.Number up to which ended runs are durably
	// recorded. The worker discards the acknowledged ones.
	AckedEnd int64 `cbor:"3,keyasint,omitempty"`
	// WaitMS bounds how long the worker may delay its answer until a run ends.
	WaitMS int `cbor:"4,keyasint,omitempty"`
	// Prompt is set if the call should not wait for other calls on its way to
	// the worker: it fetches a first report, or the next end on a busy worker.
	Prompt bool `cbor:"5,keyasint,omitempty"`
	// EndsOnly allows a report of ends to leave out what the worker executes.
	EndsOnly bool `cbor:"6,keyasint,omitempty"`
}

// RunningTask is a run in execution on a worker.
type RunningTask struct {
	Task       workload.TaskID `cbor:"1,keyasint,omitempty"`
	Run        int             `cbor:"2,keyasint,omitempty"`
	Checkpoint string          `cbor:"3,keyasint,omitempty"`
	// Percent is the progress of the run. It is 100 for a long-running task
	// that is working.
	Percent int `cbor:"4,keyasint,omitempty"`
	// Usage is the tail latency in ms for a task that serves requests, and
	// the CPU usage in thousandths of a core for any other task.
	Usage int64 `cbor:"5,keyasint,omitempty"`
}

// EndedRun is a run that has ended on a worker.
type EndedRun struct {
	// Number counts the ended runs of one incarnation of the worker, from 1.
	Number     int64           `cbor:"1,keyasint,omitempty"`
	Task       workload.TaskID `cbor:"2,keyasint,omitempty"`
	Run        int             `cbor:"3,keyasint,omitempty"`
	Reason     EndReason       `cbor:"4,keyasint,omitempty"`
	Checkpoint string          `cbor:"5,keyasint,omitempty"`
}

// EndReason is the reason why a run ended.
type EndReason string

// Reasons that workers give for the end of a run. Only ReasonFailed counts as a
// failed attempt. After any reason other than ReasonDone and ReasonFailed the
// run counts as interrupted, and the task may run again.
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
	Refusal Refusal `cbor:"1,keyasint,omitempty"`
	ClockMS int64   `cbor:"2,keyasint,omitempty"`
	// Incarnation is the start of the worker's incarnation in ms of Unix time.
	Incarnation int64         `cbor:"3,keyasint,omitempty"`
	Running     []RunningTask `cbor:"4,keyasint,omitempty"`
	Ended       []EndedRun    `cbor:"5,keyasint,omitempty"`
	// EndsOnly is set if Running was left out.
	EndsOnly bool `cbor:"6,keyasint,omitempty"`
	// MoreEnds is set if Ended may leave out the newest ends.
	MoreEnds bool `cbor:"7,keyasint,omitempty"`
	// UnreadableRows counts the rows that could not be read and were left out.
	UnreadableRows int `cbor:"8,keyasint,omitempty"`
}

// Workers sends orders to workers. Errors wrap ErrNoAnswer or
// ErrMalformedAnswer; after either error the order may still be executed.
type Workers interface {
	Start(ctx context.Context, to WorkerAddress, order StartOrder) (Answer, error)
	Stop(ctx context.Context, to WorkerAddress, task workload.TaskID, run int, fencingToken uint64) (Answer, error)
	Watch(ctx context.Context, to WorkerAddress, watch Watch) (Report, error)
	// Throttle limits a run to a percentage, from 0 to 100, of its full speed.
	Throttle(ctx context.Context, to WorkerAddress, task workload.TaskID, run, percent int, fencingToken uint64) (Answer, error)
	// Forget closes all connections to an address.
	Forget(address string)
}

// VMState is the state of a VM as the platform reports it.
type VMState string

// States of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving"
	VMMaintenance VMState = "upkeep"
	VMDown        VMState = "down"
)

// Known reports whether the state is one of those above. An entry with another
// state was not written by the platform and proves nothing.
func (s VMState) Known() bool {
	return s == VMUp || s == VMMoving || s == VMMaintenance || s == VMDown
}

// VM is a machine on which workers run.
type VM struct {
	ID string
	// Pool is the service whose worker runs on the VM.
	Pool     string
	State    VMState
	Zone     string
	Labels   []string
	Capacity workload.Resources
	// Worker is the ID of the worker that runs on the VM, or "" if there is
	// none.
	Worker string
}

// VMRefusal is the reason why the platform did not execute an order for a VM.
type VMRefusal string

// Reasons why the platform refuses an order. A refused order has no effect.
const (
	// VMAccepted means that the platform did not refuse the order.
	VMAccepted VMRefusal = ""
	// VMRefusedFencingToken means that a newer leader has acted on the VM.
	VMRefusedFencingToken VMRefusal = "fence"
	// VMBusy means that the VM is not up, or is leaving.
	VMBusy VMRefusal = "busy"
	// VMNotInWave means that the wave does not include the VM.
	VMNotInWave VMRefusal = "wave"
	// VMOverloaded means that the platform has received too many calls.
	VMOverloaded VMRefusal = "overloaded"
	// VMRefusedOther means that the call was not understood or names an
	// unknown VM.
	VMRefusedOther VMRefusal = "other"
)

// Platform lists VMs, moves them between pools and takes them into
// maintenance. Errors wrap ErrNoAnswer or ErrMalformedAnswer.
type Platform interface {
	VMs(ctx context.Context) ([]VM, error)
	Move(ctx context.Context, vm, pool, holder string, fencingToken uint64) (VMRefusal, error)
	StartMaintenance(ctx context.Context, vm string, wave int64, holder string, fencingToken uint64) (VMRefusal, error)
}

// ErrAdviserBusy is returned when the adviser refuses a call because it has
// received too many.
var ErrAdviserBusy = errors.New("the adviser takes no more calls")

// Adviser is the platform's service that decides which workers may run a step.
type Adviser interface {
	// Advise returns the tickets, by worker, of those of the given workers
	// that may run the step JOB.OCCURRENCE.STEP.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, error)
}
