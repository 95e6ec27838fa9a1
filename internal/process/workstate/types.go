package workstate

import (
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Phase is where a task stands.
type Phase uint8

// Phases of a task.
const (
	// Waiting tasks have no run that may be executing.
	Waiting Phase = iota
	// Running tasks have a run that a worker was or will be told to start.
	Running
	// Done tasks have ended well.
	Done
)

// Task is the progress of one task.
type Task struct {
	Phase Phase `cbor:"1,keyasint,omitempty"`
	// Run numbers the newest start, from 1.
	Run int `cbor:"2,keyasint,omitempty"`
	// Failures counts the runs that have failed.
	Failures int `cbor:"3,keyasint,omitempty"`
	// Worker and Born name the life of the worker of a running task.
	Worker      string `cbor:"4,keyasint,omitempty"`
	Incarnation int64  `cbor:"5,keyasint,omitempty"`
	// Checkpoint is what the next run resumes from; "" is the beginning.
	Checkpoint string `cbor:"6,keyasint,omitempty"`
}

// StepProgress is the progress of one step.
type StepProgress struct {
	Tasks []Task `cbor:"1,keyasint"`
	// Done counts the tasks that are done.
	Done int `cbor:"2,keyasint,omitempty"`
}

// Occurrence is the progress of one time that the steps run.
type Occurrence struct {
	Steps []StepProgress `cbor:"1,keyasint"`
	// StepsDone counts the steps whose tasks are all done.
	StepsDone int `cbor:"2,keyasint,omitempty"`
}

// Outcome is how a job ended.
type Outcome uint8

// Outcomes of a job.
const (
	// Open jobs have not ended.
	Open Outcome = iota
	Succeeded
	Failed
	Cancelled
)

// Job is an accepted job.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the key of the queue that took the job; Service is where its
	// tasks run if that queue is removed.
	Queue   string        `cbor:"2,keyasint"`
	Service string        `cbor:"3,keyasint"`
	Spec    workload.Spec `cbor:"4,keyasint"`
	// AcceptedMS and EndedMS are in milliseconds of the state's clock.
	AcceptedMS int64   `cbor:"5,keyasint"`
	EndedMS    int64   `cbor:"6,keyasint,omitempty"`
	Outcome    Outcome `cbor:"7,keyasint,omitempty"`
	// Started says that a task has been started.
	Started bool `cbor:"8,keyasint,omitempty"`
	// Occurrences holds the progress; those that have not begun are missing
	// at the end.
	Occurrences []Occurrence `cbor:"9,keyasint,omitempty"`
	// OccurrencesDone counts the occurrences that are done.
	OccurrencesDone int `cbor:"10,keyasint,omitempty"`
	// Executing counts the tasks whose phase is Running.
	Executing int `cbor:"11,keyasint,omitempty"`
}

// Worker is one life of a VM in a pool.
type Worker struct {
	ID string `cbor:"1,keyasint"`
	// Address is where the worker takes orders, HOST:PORT.
	Address string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint,omitempty"`
	// VM identifies the machine; it outlives the worker.
	VM string `cbor:"5,keyasint,omitempty"`
	// Incarnation is the start of this life in milliseconds of Unix time.
	Incarnation int64              `cbor:"6,keyasint"`
	Capacity    workload.Resources `cbor:"7,keyasint"`
	Labels      []string           `cbor:"8,keyasint,omitempty"`
	// Draining workers take no new tasks.
	Draining bool `cbor:"9,keyasint,omitempty"`
	// Restarted says that the id was that of an earlier life, so that calls to
	// that life may still arrive at this one.
	Restarted bool `cbor:"10,keyasint,omitempty"`
}

// Wave is a request for upkeep of some VMs.
type Wave struct {
	Number int64    `cbor:"1,keyasint"`
	VMs    []string `cbor:"2,keyasint"`
	// DeadlineMS is in milliseconds of the state's clock.
	DeadlineMS int64 `cbor:"3,keyasint"`
	// Cap bounds the VMs that are down for the wave at once.
	Cap int `cbor:"4,keyasint"`
	// Ordered holds the VMs whose upkeep was ordered or may have been; Done
	// those whose upkeep has begun for sure.
	Ordered map[string]bool `cbor:"5,keyasint,omitempty"`
	Started map[string]bool `cbor:"6,keyasint,omitempty"`
}

// Finished says whether the upkeep of every VM has begun.
func (w *Wave) Finished() bool { return len(w.Started) >= len(w.VMs) }

// data is the whole replicated state, as written to snapshots.
type data struct {
	Catalog catalog.Catalog    `cbor:"1,keyasint"`
	Jobs    map[string]*Job    `cbor:"2,keyasint"`
	Workers map[string]*Worker `cbor:"3,keyasint"`
	Waves   map[int64]*Wave    `cbor:"4,keyasint"`
	// ClockMS is the newest time of any command; it never goes back.
	ClockMS int64 `cbor:"5,keyasint"`
}

func emptyData() data {
	return data{Jobs: map[string]*Job{}, Workers: map[string]*Worker{}, Waves: map[int64]*Wave{}}
}
