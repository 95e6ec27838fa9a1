package workcall

import (
	"context"
	"errors"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Errors of calls to control.
var (
	// ErrUnavailable says that no leader took the call: nothing was done.
	ErrUnavailable = errors.New("no leader of control can be reached")
	// ErrUnknown says that the call may have taken effect.
	ErrUnknown = errors.New("control did not answer, the call may have taken effect")
)

// Control is what the leader of control offers to the processes around it.
type Control interface {
	Submit(ctx context.Context, r SubmitRequest) (SubmitResponse, error)
	Job(ctx context.Context, r JobRequest) (JobResponse, error)
	Cancel(ctx context.Context, r JobRequest) (CancelResponse, error)
	Pending(ctx context.Context, r PendingRequest) (PendingResponse, error)
	Heartbeat(ctx context.Context, r HeartbeatRequest) (HeartbeatResponse, error)
	Deregister(ctx context.Context, r DeregisterRequest) (Done, error)
	ReplaceCatalog(ctx context.Context, r CatalogRequest) (CatalogResponse, error)
	ReadCatalog(ctx context.Context, r ReadRequest) (CatalogResponse, error)
	StartWave(ctx context.Context, r WaveRequest) (Done, error)
	Wave(ctx context.Context, r WaveStateRequest) (WaveStateResponse, error)
}

// Location names a queue or a job by where the client sent its request.
type Location struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
}

// SubmitRequest hands a job in. The job's id is the path after the queue's
// prefix.
type SubmitRequest struct {
	Location
	Spec workload.Spec `cbor:"3,keyasint"`
}

// Status says what became of a request.
type Status uint8

// Verdicts.
const (
	// Accepted requests took effect.
	Accepted Status = iota + 1
	// UnknownQueue: no queue has the place.
	UnknownQueue
	// UnknownJob: no job has the id.
	UnknownJob
	// Invalid requests can never take effect.
	Invalid
	// NotReady: control has no configuration yet.
	NotReady
	// Overloaded: the job has not been accepted and never runs; its work
	// can't be done in time now.
	Overloaded
)

// SubmitResponse answers a SubmitRequest.
type SubmitResponse struct {
	Status Status `cbor:"1,keyasint"`
	// RetryAfterMS says when a refused caller may come back.
	RetryAfterMS int64  `cbor:"2,keyasint,omitempty"`
	Reason       string `cbor:"3,keyasint,omitempty"`
}

// JobRequest names a job.
type JobRequest struct{ Location }

// JobResponse tells a job's state.
type JobResponse struct {
	Status  Status            `cbor:"1,keyasint"`
	Outcome workstate.Outcome `cbor:"2,keyasint,omitempty"`
	// Started says that a task has been started.
	Started bool `cbor:"3,keyasint,omitempty"`
}

// CancelResponse answers a cancel.
type CancelResponse struct {
	Status Status `cbor:"1,keyasint"`
}

// PendingRequest names a queue.
type PendingRequest struct{ Location }

// PendingResponse counts a queue's jobs of which no task has started.
type PendingResponse struct {
	Status  Status `cbor:"1,keyasint"`
	Pending int    `cbor:"2,keyasint,omitempty"`
	// CatalogVersion is the version of the configuration that the answer is
	// from.
	CatalogVersion int64 `cbor:"3,keyasint,omitempty"`
}

// HeartbeatRequest is a worker's report about itself.
type HeartbeatRequest struct {
	Worker workstate.Worker `cbor:"1,keyasint"`
	// Sequence rises with each heartbeat of one life of the worker.
	Sequence int64 `cbor:"2,keyasint"`
	// ClockMS is the worker's steady clock.
	ClockMS int64 `cbor:"3,keyasint"`
}

// HeartbeatResponse acknowledges a heartbeat.
type HeartbeatResponse struct {
	Status Status `cbor:"1,keyasint"`
	// NextAddress is where later heartbeats go, HOST:PORT.
	NextAddress string `cbor:"2,keyasint,omitempty"`
}

// DeregisterRequest says that a worker has ended.
type DeregisterRequest struct {
	ID string `cbor:"1,keyasint"`
	// Incarnation is the life that ends; 0 is the one known.
	Incarnation int64 `cbor:"2,keyasint,omitempty"`
}

// Done is an empty answer.
type Done struct{}

// CatalogRequest replaces the configuration.
type CatalogRequest struct {
	Catalog catalog.Catalog `cbor:"1,keyasint"`
}

// ReadRequest reads the configuration.
type ReadRequest struct{}

// CatalogResponse holds the version in force and, when read, its source.
type CatalogResponse struct {
	Version int64  `cbor:"1,keyasint"`
	Source  []byte `cbor:"2,keyasint,omitempty"`
}

// WaveRequest asks for the upkeep of VMs.
type WaveRequest struct {
	Number     int64    `cbor:"1,keyasint"`
	VMs        []string `cbor:"2,keyasint"`
	DeadlineMS int64    `cbor:"3,keyasint"`
	Cap        int      `cbor:"4,keyasint"`
}

// WaveStateRequest names a wave.
type WaveStateRequest struct {
	Number int64 `cbor:"1,keyasint"`
}

// WaveStateResponse tells how far a wave is.
type WaveStateResponse struct {
	Status   Status `cbor:"1,keyasint"`
	Finished bool   `cbor:"2,keyasint,omitempty"`
}

// HelloRequest asks any control process for the leader.
type HelloRequest struct{}

// HelloResponse names the leader and all members by their link addresses.
type HelloResponse struct {
	// Leader is "" while none is known.
	Leader  string   `cbor:"1,keyasint,omitempty"`
	Members []string `cbor:"2,keyasint,omitempty"`
	// CatalogVersion is 0 before the first configuration.
	CatalogVersion int64 `cbor:"3,keyasint,omitempty"`
}

// JoinRequest asks the leader to take a process with an empty disk in.
type JoinRequest struct {
	ID    string `cbor:"1,keyasint"`
	Link  string `cbor:"2,keyasint"`
	Admin string `cbor:"3,keyasint"`
}
