package workstate

import (
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Command is one entry of the replicated log. Exactly one field besides AtMS is
// set.
type Command struct {
	// AtMS is the proposer's time in milliseconds of Unix time.
	AtMS        int64            `cbor:"1,keyasint"`
	Catalog     *catalog.Catalog `cbor:"2,keyasint,omitempty"`
	Submit      *Submit          `cbor:"3,keyasint,omitempty"`
	Cancel      *Cancel          `cbor:"4,keyasint,omitempty"`
	Progress    *Progress        `cbor:"5,keyasint,omitempty"`
	Register    *Worker          `cbor:"6,keyasint,omitempty"`
	Deregister  *Deregister      `cbor:"7,keyasint,omitempty"`
	Wave        *Wave            `cbor:"8,keyasint,omitempty"`
	Maintenance *Maintenance     `cbor:"9,keyasint,omitempty"`
	PurgeJobs   *PurgeJobs       `cbor:"10,keyasint,omitempty"`
	// Packed is a Progress in its compact form.
	Packed      *PackedProgress `cbor:"11,keyasint,omitempty"`
	RaiseFormat *RaiseFormat    `cbor:"12,keyasint,omitempty"`
}

// Submit submits a job.
type Submit struct {
	ID   string        `cbor:"1,keyasint"`
	Host string        `cbor:"2,keyasint"`
	Path string        `cbor:"3,keyasint"`
	Spec workload.Spec `cbor:"4,keyasint"`
	// Key is the digest of the caller's key, or nil if it has none.
	Key *catalog.KeyDigest `cbor:"5,keyasint,omitempty"`
}

// Cancel cancels a job.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
	// Host, Path and Key are those of the caller's request; Key is nil if it has none.
	Host string             `cbor:"2,keyasint,omitempty"`
	Path string             `cbor:"3,keyasint,omitempty"`
	Key  *catalog.KeyDigest `cbor:"4,keyasint,omitempty"`
}

// EndKind is the way in which a run ended.
type EndKind uint8

// Ways in which a run ends.
const (
	// EndDone means that the run succeeded.
	EndDone EndKind = iota + 1
	// EndFailed means that the run failed, which counts against the task's
	// attempts.
	EndFailed
	// EndInterrupted means that the run ended without success or failure, for
	// example because it was stopped, lost or refused by the worker. The task
	// may run again, and this does not count against its attempts.
	EndInterrupted
	// EndCrashed means that the run's worker crashed, or was not heard of until
	// its lease had expired, before the run was known to have survived its start.
	// So the run may have crashed it.
	EndCrashed
)

// End records the end of a run.
type End struct {
	Task workload.TaskID `cbor:"1,keyasint"`
	Run  int             `cbor:"2,keyasint"`
	Kind EndKind         `cbor:"3,keyasint"`
	// Checkpoint is the newest known checkpoint; "" keeps the recorded one.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Alone is set for EndCrashed if no run of another job may have crashed the
	// worker.
	Alone bool `cbor:"5,keyasint,omitempty"`
	// Survived is set if the run is known to have survived its start, so that it
	// did not crash its worker by starting.
	Survived bool `cbor:"6,keyasint,omitempty"`
	// Uncertain is set for EndCrashed if it is not certain that the run was starting
	// when its worker crashed or fell silent: a former leader had ordered it, its
	// order was not known to be accepted, or it was accepted long before.
	Uncertain bool `cbor:"7,keyasint,omitempty"`
	// Unreported is set if the worker has not reported the end but may still do so.
	Unreported bool `cbor:"8,keyasint,omitempty"`
}

// Start records a run. It is committed before the start order is sent.
type Start struct {
	Task   workload.TaskID `cbor:"1,keyasint"`
	Run    int             `cbor:"2,keyasint"`
	Worker string          `cbor:"3,keyasint"`
	// Incarnation is the worker's incarnation for which the start was planned.
	Incarnation int64 `cbor:"4,keyasint"`
	// Term is the term of the leader that plans the start.
	Term uint64 `cbor:"5,keyasint,omitempty"`
}

// Survival records that an executing run has survived its start, so that it did not
// crash its worker by starting, whatever a later leader sees of its end.
type Survival struct {
	Task workload.TaskID `cbor:"1,keyasint"`
	Run  int             `cbor:"2,keyasint"`
}

// Progress records survivals, ends and starts of runs, which are applied in this
// order.
type Progress struct {
	Ends      []End      `cbor:"1,keyasint,omitempty"`
	Starts    []Start    `cbor:"2,keyasint,omitempty"`
	Survivals []Survival `cbor:"3,keyasint,omitempty"`
}

// Deregister removes a worker's incarnation, which no longer executes anything
// or, if Announced is set, is about to end.
type Deregister struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Announced is set if the worker itself has announced its end. It may work
	// until that is acknowledged, so it is removed only if no run is recorded on
	// it; otherwise the result is Busy and the worker is marked as leaving.
	Announced bool `cbor:"3,keyasint,omitempty"`
	// Sequence, if it is set, is the number of the newest heartbeat by which the
	// incarnation may be registered. One that has registered by a later heartbeat
	// is alive and stays, so that the command may be repeated.
	Sequence *int64 `cbor:"4,keyasint,omitempty"`
}

// Maintenance records that the maintenance of a VM is about to be ordered or, if
// Settled is set, that it has started or never will.
type Maintenance struct {
	Wave    int64  `cbor:"1,keyasint"`
	VM      string `cbor:"2,keyasint"`
	Settled bool   `cbor:"3,keyasint,omitempty"`
}

// PurgeJobs removes the jobs that ended before a time.
type PurgeJobs struct {
	EndedBeforeMS int64 `cbor:"1,keyasint"`
}

// Code is the result code of a command.
type Code uint8

// Result codes of commands.
const (
	// OK means that the command took effect, now or at an earlier time.
	OK Code = iota + 1
	// UnknownQueue means that no queue matches the path.
	UnknownQueue
	// UnknownJob means that no job or wave has the id.
	UnknownJob
	// Malformed means that the command could not be decoded or has no known
	// field.
	Malformed
	// Busy means that runs are recorded on a worker that announced its end.
	Busy
	// Unauthorized means that the key is missing or unknown.
	Unauthorized
	// Forbidden means that the job belongs to another account.
	Forbidden
	// OtherJob means that a job at another location has the id.
	OtherJob
)

// Result is the result of applying a command.
type Result struct {
	Code Code `cbor:"1,keyasint"`
	// Repeated is set if the command had no effect because it, or a newer one,
	// had taken effect before.
	Repeated bool `cbor:"2,keyasint,omitempty"`
	// Started tells for each start of a Progress whether the run was recorded,
	// so that its order may be sent.
	Started []bool `cbor:"3,keyasint,omitempty"`
	// Version is the catalog's version after a Catalog command.
	Version int64 `cbor:"4,keyasint,omitempty"`
}
