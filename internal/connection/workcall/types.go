package workcall

import (
	"context"
	"errors"

	"arbutusward.example/arbutusward/internal/connection/ingress"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Errors of calls to control.
var (
	// ErrUnavailable is returned when no leader accepted the call. The call
	// had no effect.
	ErrUnavailable = errors.New("no leader of control can be reached")
	// ErrUnknown is returned when the call may have taken effect.
	ErrUnknown = errors.New("control did not answer, the call may have taken effect")
)

// Control is the interface of the control leader to the other processes.
type Control interface {
	Submit(ctx context.Context, r SubmitRequest) (SubmitResponse, error)
	Job(ctx context.Context, r JobRequest) (JobResponse, error)
	Cancel(ctx context.Context, r JobRequest) (CancelResponse, error)
	Pending(ctx context.Context, r PendingRequest) (PendingResponse, error)
	Accounts(ctx context.Context, r AccountsRequest) (AccountsResponse, error)
	Heartbeat(ctx context.Context, r HeartbeatRequest) (HeartbeatResponse, error)
	Deregister(ctx context.Context, r DeregisterRequest) (Done, error)
	ReplaceCatalog(ctx context.Context, r CatalogRequest) (CatalogResponse, error)
	ReadCatalog(ctx context.Context, r ReadRequest) (CatalogResponse, error)
	StartWave(ctx context.Context, r WaveRequest) (Done, error)
	Wave(ctx context.Context, r WaveStateRequest) (WaveStateResponse, error)
}

// Location identifies a queue or a job by the host and path of the client's
// request.
type Location struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
}

// SubmitRequest submits a job. The job's ID is the part of the path after the
// queue's prefix.
type SubmitRequest struct {
	Location
	Spec workload.Spec `cbor:"3,keyasint"`
	// Key is the digest of the client's API key, or nil if it sent none.
	Key *catalog.KeyDigest `cbor:"4,keyasint,omitempty"`
	// Attempt is a random id of the client's request. All copies of the submission
	// that are sent for this request carry it.
	Attempt string `cbor:"5,keyasint,omitempty"`
}

// Status is the result of a request.
type Status uint8

// Results of requests. Only a request with the result OK takes effect.
const (
	// OK means that the request was accepted or the read answered.
	OK Status = iota + 1
	// UnknownQueue means that the location belongs to no queue.
	UnknownQueue
	// UnknownJob means that no job has the ID.
	UnknownJob
	// Invalid means that the request can never be accepted.
	Invalid
	// NotReady means that control has no catalog yet.
	NotReady
	// Overloaded means that the job was rejected, and never runs, because it
	// cannot be finished in time under the present load.
	Overloaded
	// Unauthorized means that the key is missing or unknown.
	Unauthorized
	// Forbidden means that the job belongs to another account.
	Forbidden
)

// SubmitResponse answers a SubmitRequest.
type SubmitResponse struct {
	Status Status `cbor:"1,keyasint"`
	// RetryAfterMS is the time after which a rejected request may be retried.
	RetryAfterMS int64  `cbor:"2,keyasint,omitempty"`
	Reason       string `cbor:"3,keyasint,omitempty"`
	// Known is set in a refusal if the job was accepted before, maybe from another copy of
	// the call.
	Known bool `cbor:"4,keyasint,omitempty"`
}

// mayHaveTakenEffect reports whether an earlier copy of the refused call may have been
// accepted.
func (r SubmitResponse) mayHaveTakenEffect() bool { return r.Status != OK && r.Known }

// JobRequest identifies a job.
type JobRequest struct {
	Location
	// Key is the digest of the client's API key, or nil if it sent none.
	Key *catalog.KeyDigest `cbor:"3,keyasint,omitempty"`
}

// JobResponse is the state of a job.
type JobResponse struct {
	Status  Status            `cbor:"1,keyasint"`
	Outcome workstate.Outcome `cbor:"2,keyasint,omitempty"`
	// Started reports whether a task of the job has been started.
	Started bool `cbor:"3,keyasint,omitempty"`
}

// CancelResponse answers the cancellation of a job.
type CancelResponse struct {
	Status Status `cbor:"1,keyasint"`
}

// PendingRequest identifies a queue.
type PendingRequest struct {
	Location
	// Key is the digest of the client's API key, or nil if it sent none.
	Key *catalog.KeyDigest `cbor:"3,keyasint,omitempty"`
}

// PendingResponse is the number of jobs of a queue that have no started task.
type PendingResponse struct {
	Status  Status `cbor:"1,keyasint"`
	Pending int    `cbor:"2,keyasint,omitempty"`
	// CatalogVersion is the version of the catalog that was in force
	// when the jobs were counted.
	CatalogVersion int64 `cbor:"3,keyasint,omitempty"`
}

// AccountsRequest asks for the keys that are known.
type AccountsRequest struct {
	// Known is the version of the catalog whose keys the caller has, or 0.
	Known int64 `cbor:"1,keyasint,omitempty"`
}

// AccountsResponse lists the digests of the keys that are known. They are left out if
// the caller has those of the version.
type AccountsResponse struct {
	// Version is that of the catalog in force, 0 if there is none yet.
	Version       int64               `cbor:"1,keyasint,omitempty"`
	AccessControl bool                `cbor:"2,keyasint,omitempty"`
	Keys          []catalog.KeyDigest `cbor:"3,keyasint,omitempty"`
}

// HeartbeatRequest is a heartbeat of a worker.
type HeartbeatRequest struct {
	Worker workstate.Worker `cbor:"1,keyasint"`
	// Sequence increases with each heartbeat of one incarnation of the worker.
	Sequence int64 `cbor:"2,keyasint"`
	// ClockMS is a reading of the worker's monotonic clock.
	ClockMS int64 `cbor:"3,keyasint"`
}

// HeartbeatResponse acknowledges a heartbeat.
type HeartbeatResponse struct {
	Status Status `cbor:"1,keyasint"`
	// NextAddress is the HOST:PORT to which later heartbeats are to be sent.
	NextAddress string `cbor:"2,keyasint,omitempty"`
}

// HeardMessage tells the leader from which workers a follower has received
// heartbeats lately. It has no answer.
type HeardMessage struct {
	Heartbeats []HeardHeartbeat `cbor:"2,keyasint"`
}

// HeardHeartbeat is the newest heartbeat of a worker that a process has received.
type HeardHeartbeat struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Sequence    int64  `cbor:"3,keyasint"`
	// ClockMS is the worker's monotonic clock when it sent the heartbeat, or 0 if
	// that is not known.
	ClockMS int64 `cbor:"4,keyasint,omitempty"`
	// Capacity is the capacity that the heartbeat states, or nil if that is not
	// known.
	Capacity *workload.Resources `cbor:"5,keyasint,omitempty"`
}

// Newer reports whether a heartbeat of the same worker was sent after another.
func (h HeardHeartbeat) Newer(other HeardHeartbeat) bool {
	return h.order().Compare(other.order()) > 0
}

func (h HeardHeartbeat) order() workstate.HeartbeatOrder {
	return workstate.HeartbeatOrder{Incarnation: h.Incarnation, Sequence: h.Sequence}
}

// DeregisterRequest removes a worker that has shut down.
type DeregisterRequest struct {
	ID string `cbor:"1,keyasint"`
	// Incarnation is the incarnation that has ended; 0 stands for the
	// registered one.
	Incarnation int64 `cbor:"2,keyasint,omitempty"`
}

// Done is an empty response.
type Done struct{}

// CatalogRequest replaces the catalog.
type CatalogRequest struct {
	Catalog catalog.Catalog `cbor:"1,keyasint"`
}

// ReadRequest reads the catalog.
type ReadRequest struct{}

// CatalogResponse is the version in force and, in answer to a ReadRequest,
// its source.
type CatalogResponse struct {
	Version int64  `cbor:"1,keyasint"`
	Source  []byte `cbor:"2,keyasint,omitempty"`
}

// WaveRequest starts a wave of maintenance on VMs.
type WaveRequest struct {
	Number     int64    `cbor:"1,keyasint"`
	VMs        []string `cbor:"2,keyasint"`
	DeadlineMS int64    `cbor:"3,keyasint"`
	Cap        int      `cbor:"4,keyasint"`
}

// WaveStateRequest identifies a wave.
type WaveStateRequest struct {
	Number int64 `cbor:"1,keyasint"`
}

// WaveStateResponse is the state of a wave.
type WaveStateResponse struct {
	Status   Status `cbor:"1,keyasint"`
	Finished bool   `cbor:"2,keyasint,omitempty"`
}

// HelloRequest asks any control process for the leader.
type HelloRequest struct{}

// HelloResponse lists the link addresses of the leader and of all members.
type HelloResponse struct {
	// Leader is "" while no leader is known.
	Leader  string   `cbor:"1,keyasint,omitempty"`
	Members []string `cbor:"2,keyasint,omitempty"`
	// CatalogVersion is 0 before the first catalog.
	CatalogVersion int64 `cbor:"3,keyasint,omitempty"`
	// LeaderSilenceMS is the time since the process that answers knew of a
	// leader in contact with a majority.
	LeaderSilenceMS int64 `cbor:"4,keyasint,omitempty"`
	// Relays lists the members that are to be called in place of the leader. It is
	// empty in a small fleet.
	Relays []string `cbor:"5,keyasint,omitempty"`
	// IsRelay is set if the process that answers passes calls on to the leader.
	IsRelay bool `cbor:"6,keyasint,omitempty"`
	// Zone is the availability zone of the process that answers.
	Zone string `cbor:"7,keyasint,omitempty"`
	// Format is the newest format of commands that the process that answers can read.
	Format int `cbor:"8,keyasint,omitempty"`
	// Limits are those of the catalog. Zeros stand for the defaults.
	Limits ingress.Limits `cbor:"9,keyasint,omitempty"`
}

// silent reports whether the process that answers has not heard of its leader lately.
func (r *HelloResponse) silent() bool { return r.LeaderSilenceMS > MaxLeaderSilence.Milliseconds() }

// JoinRequest asks the leader to admit a process with an empty disk as a
// member.
type JoinRequest struct {
	ID    string `cbor:"1,keyasint"`
	Link  string `cbor:"2,keyasint"`
	Admin string `cbor:"3,keyasint"`
	// Format is the newest format of commands that the process can read.
	Format int `cbor:"4,keyasint,omitempty"`
	// JobMemory is the memory that the process has for jobs, in bytes.
	JobMemory int64 `cbor:"5,keyasint,omitempty"`
}
