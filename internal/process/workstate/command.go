package workstate

import (
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Command is one entry of the log. Exactly one part is set.
type Command struct {
	// AtMS is the proposer's time in milliseconds of Unix time.
	AtMS     int64            `cbor:"1,keyasint"`
	Catalog  *catalog.Catalog `cbor:"2,keyasint,omitempty"`
	Submit   *Submit          `cbor:"3,keyasint,omitempty"`
	Cancel   *Cancel          `cbor:"4,keyasint,omitempty"`
	Progress *Progress        `cbor:"5,keyasint,omitempty"`
	Register *Worker          `cbor:"6,keyasint,omitempty"`
	// Deregister is the id of a worker that has ended.
	Deregister  *Deregister  `cbor:"7,keyasint,omitempty"`
	Wave        *Wave        `cbor:"8,keyasint,omitempty"`
	Maintenance *Maintenance `cbor:"9,keyasint,omitempty"`
	// PurgeJobs asks to drop jobs that ended before this many milliseconds.
	PurgeJobs *PurgeJobs `cbor:"10,keyasint,omitempty"`
}

// Submit hands a job in.
type Submit struct {
	ID   string        `cbor:"1,keyasint"`
	Host string        `cbor:"2,keyasint"`
	Path string        `cbor:"3,keyasint"`
	Spec workload.Spec `cbor:"4,keyasint"`
}

// Cancel ends a job.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
}

// EndKind says how a run ended.
type EndKind uint8

// Ways in which a run ends.
const (
	// EndDone is a success.
	EndDone EndKind = iota + 1
	// EndFailed counts against the task's attempts.
	EndFailed
	// EndInterrupted runs may run again without a failed attempt.
	EndInterrupted
)

// End reports that a run is over.
type End struct {
	Task workload.TaskID `cbor:"1,keyasint"`
	Run  int             `cbor:"2,keyasint"`
	Kind EndKind         `cbor:"3,keyasint"`
	// Checkpoint is the newest that is known; "" keeps the recorded one.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
}

// Start records a run before its order leaves.
type Start struct {
	Task   workload.TaskID `cbor:"1,keyasint"`
	Run    int             `cbor:"2,keyasint"`
	Worker string          `cbor:"3,keyasint"`
	// Incarnation is the life of the worker for which the start was planned.
	Incarnation int64 `cbor:"4,keyasint"`
}

// Progress carries ends, then starts.
type Progress struct {
	Ends   []End   `cbor:"1,keyasint,omitempty"`
	Starts []Start `cbor:"2,keyasint,omitempty"`
}

// Deregister ends one life of a worker: nothing runs on it any more.
type Deregister struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
}

// Maintenance records that the upkeep of a VM is about to be ordered or, with
// Done, that it has begun.
type Maintenance struct {
	Wave    int64  `cbor:"1,keyasint"`
	VM      string `cbor:"2,keyasint"`
	Started bool   `cbor:"3,keyasint,omitempty"`
}

// PurgeJobs drops what ended long ago.
type PurgeJobs struct {
	EndedBeforeMS int64 `cbor:"1,keyasint"`
}

// Code says what became of a command.
type Code uint8

// Results of commands.
const (
	// OK commands took effect, now or when they were first applied.
	OK Code = iota + 1
	// UnknownQueue says that no queue takes the path.
	UnknownQueue
	// UnknownJob says that no job has the id.
	UnknownJob
	// Malformed commands were not understood.
	Malformed
)

// Result is the outcome of a command.
type Result struct {
	Code Code `cbor:"1,keyasint"`
	// Repeated says that the command had taken effect before.
	Repeated bool `cbor:"2,keyasint,omitempty"`
	// Started says for each start of a Progress whether it may be ordered.
	Started []bool `cbor:"3,keyasint,omitempty"`
	// Version is the catalog's version after a Catalog command.
	Version int64 `cbor:"4,keyasint,omitempty"`
}
