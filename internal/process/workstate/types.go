package workstate

import (
	"cmp"

	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Phase is the phase of a task.
type Phase uint8

// Phases of a task.
const (
	// Waiting means that the task has no run that may be executing.
	Waiting Phase = iota
	// Running means that the task has a run whose start order was sent to a
	// worker or will be.
	Running
	// Done means that a run of the task has succeeded.
	Done
)

// Task is the progress of one task.
type Task struct {
	Phase Phase `cbor:"1,keyasint,omitempty"`
	// Run is the number of the newest run; the first run is 1.
	Run int `cbor:"2,keyasint,omitempty"`
	// Failures counts the failed runs.
	Failures int `cbor:"3,keyasint,omitempty"`
	// Worker and Incarnation identify the worker of a running task.
	Worker      string `cbor:"4,keyasint,omitempty"`
	Incarnation int64  `cbor:"5,keyasint,omitempty"`
	// Checkpoint is the checkpoint from which the next run resumes; "" means
	// that it starts from the beginning.
	Checkpoint string `cbor:"6,keyasint,omitempty"`
	// Crashes counts the runs that may have crashed their worker since a run last
	// survived its start. CrashesAlone counts those among them that no run of
	// another job can have caused, and CrashesUncertain those of runs that may have
	// started long before, or not at all.
	Crashes          int `cbor:"7,keyasint,omitempty"`
	CrashesAlone     int `cbor:"8,keyasint,omitempty"`
	CrashesUncertain int `cbor:"11,keyasint,omitempty"`
	// Term is the term of the leader that recorded the newest run.
	Term uint64 `cbor:"10,keyasint,omitempty"`
	// UnreportedRuns lists the runs that were ended before their worker reported
	// how they ended, the oldest first.
	UnreportedRuns []int `cbor:"12,keyasint,omitempty"`
	// Succeeded is set if a run before the newest one has succeeded. The newest
	// one is stopped, and the task is done once it has ended.
	Succeeded bool `cbor:"13,keyasint,omitempty"`
	// Survived is set if the newest run is known to have survived its start. It is
	// recorded while the run executes, for tasks with crashes only.
	Survived bool `cbor:"14,keyasint,omitempty"`
}

// StepProgress is the progress of one step.
type StepProgress struct {
	Tasks []Task `cbor:"1,keyasint"`
	// Done counts the tasks that are done.
	Done int `cbor:"2,keyasint,omitempty"`
	// Running counts the tasks whose phase is Running. It is derived from Tasks.
	Running int `cbor:"-"`
}

// Waiting returns the number of tasks whose phase is Waiting.
func (s *StepProgress) Waiting() int { return len(s.Tasks) - s.Done - s.Running }

// countRunning derives the number of running tasks of each step.
func (j *Job) countRunning() {
	for k := range j.Occurrences {
		for s := range j.Occurrences[k].Steps {
			step := &j.Occurrences[k].Steps[s]
			step.Running = 0
			for i := range step.Tasks {
				if step.Tasks[i].Phase == Running {
					step.Running++
				}
			}
		}
	}
}

// Occurrence is the progress of one occurrence of a job.
type Occurrence struct {
	Steps []StepProgress `cbor:"1,keyasint"`
	// StepsDone counts the steps all of whose tasks are done.
	StepsDone int `cbor:"2,keyasint,omitempty"`
}

// Outcome is the outcome of a job.
type Outcome uint8

// Outcomes of a job.
const (
	// Open means that the job has not ended.
	Open Outcome = iota
	Succeeded
	Failed
	Cancelled
)

// Job is an accepted job.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the key of the queue that accepted the job. Service runs its
	// tasks if nothing is known of that queue.
	Queue   string        `cbor:"2,keyasint"`
	Service string        `cbor:"3,keyasint"`
	Spec    workload.Spec `cbor:"4,keyasint"`
	// AcceptedMS and EndedMS are times on the state's clock, in milliseconds.
	AcceptedMS int64   `cbor:"5,keyasint"`
	EndedMS    int64   `cbor:"6,keyasint,omitempty"`
	Outcome    Outcome `cbor:"7,keyasint,omitempty"`
	// Started is set if a task of the job has been started.
	Started bool `cbor:"8,keyasint,omitempty"`
	// Occurrences holds the progress of the occurrences up to the last one that
	// has started.
	Occurrences []Occurrence `cbor:"9,keyasint,omitempty"`
	// OccurrencesDone counts the occurrences that are done.
	OccurrencesDone int `cbor:"10,keyasint,omitempty"`
	// Executing counts the tasks whose phase is Running.
	Executing int `cbor:"11,keyasint,omitempty"`
	// Account is the name of the client account that submitted the job, or "" if it was
	// submitted without a key.
	Account string `cbor:"12,keyasint,omitempty"`
	// OverRate is set if the account had submitted more jobs than its weight allows
	// when this one was accepted.
	OverRate bool `cbor:"13,keyasint,omitempty"`
	// charged is the memory in bytes that the state counts for the job.
	charged int64
}

// acceptedAt reports whether the job was submitted at a location. A call with the same id
// at another one is not for the job.
func (j *Job) acceptedAt(host, path string) bool { return j.Queue+j.ID == host+path }

// Worker is a registered incarnation of a worker, which represents a VM in a
// pool.
type Worker struct {
	ID string `cbor:"1,keyasint"`
	// Address is the HOST:PORT at which the worker accepts orders.
	Address string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint,omitempty"`
	// VM is the id of the machine, which outlives the worker.
	VM string `cbor:"5,keyasint,omitempty"`
	// Incarnation is the start of this incarnation in milliseconds of Unix
	// time.
	Incarnation int64              `cbor:"6,keyasint"`
	Capacity    workload.Resources `cbor:"7,keyasint"`
	Labels      []string           `cbor:"8,keyasint,omitempty"`
	// Draining is set if the worker accepts no new tasks because it is about to
	// shut down.
	Draining bool `cbor:"9,keyasint,omitempty"`
	// Restarted is set if an earlier incarnation had the same id. Calls to that
	// incarnation may still arrive at this one.
	Restarted bool `cbor:"10,keyasint,omitempty"`
	// Sequence is the number of the heartbeat that registered the worker; 0 if
	// this incarnation was registered without a heartbeat.
	Sequence int64 `cbor:"11,keyasint,omitempty"`
	// Leaving is set if the worker has announced its end while runs were
	// recorded on it. It may execute them until its announcement is
	// acknowledged.
	Leaving bool `cbor:"12,keyasint,omitempty"`
	// EndsByOrder is the newest incarnation of this id that was about to end
	// without a crash: by draining, maintenance or a change of service. It is 0
	// if there was none, and again once the worker gets a task after all.
	EndsByOrder int64 `cbor:"13,keyasint,omitempty"`
	// FirstClockMS is the first known reading of the incarnation's clock, or 0.
	FirstClockMS int64 `cbor:"14,keyasint,omitempty"`
}

// Order returns the place of the registration among the heartbeats of the worker.
func (w *Worker) Order() HeartbeatOrder {
	return HeartbeatOrder{Incarnation: w.Incarnation, Sequence: w.Sequence}
}

// Replaces reports whether a registration is as new as the known one of the same
// worker. Heartbeats may arrive in another order than they were sent.
func (w *Worker) Replaces(known *Worker) bool { return w.Order().Compare(known.Order()) >= 0 }

// HeartbeatOrder tells in which order the heartbeats of a worker were sent: by
// incarnation, and by number within one.
type HeartbeatOrder struct{ Incarnation, Sequence int64 }

// Compare returns -1 if the heartbeat was sent before another, +1 if after it, and
// 0 if they are the same.
func (o HeartbeatOrder) Compare(other HeartbeatOrder) int {
	return cmp.Or(cmp.Compare(o.Incarnation, other.Incarnation), cmp.Compare(o.Sequence, other.Sequence))
}

// Wave is a request for the maintenance of a list of VMs.
type Wave struct {
	Number int64    `cbor:"1,keyasint"`
	VMs    []string `cbor:"2,keyasint"`
	// DeadlineMS is a time on the state's clock, in milliseconds.
	DeadlineMS int64 `cbor:"3,keyasint"`
	// Cap limits the number of VMs that are down for the wave at the same time.
	Cap int `cbor:"4,keyasint"`
	// Ordered holds the VMs whose maintenance was or may have been ordered;
	// Settled holds those whose maintenance has started or was abandoned.
	Ordered map[string]bool `cbor:"5,keyasint,omitempty"`
	Settled map[string]bool `cbor:"6,keyasint,omitempty"`
}

// Finished reports whether the maintenance of every VM has started or was
// abandoned.
func (w *Wave) Finished() bool { return len(w.Settled) >= len(w.VMs) }

// data is the complete replicated state, which is written to snapshots.
type data struct {
	Catalog catalog.Catalog    `cbor:"1,keyasint"`
	Jobs    map[string]*Job    `cbor:"2,keyasint"`
	Workers map[string]*Worker `cbor:"3,keyasint"`
	Waves   map[int64]*Wave    `cbor:"4,keyasint"`
	// ClockMS is the latest time of any command in milliseconds; it never
	// decreases.
	ClockMS int64 `cbor:"5,keyasint"`
	// Left holds, by id, the workers that have left or were lost lately.
	Left map[string]LeftWorker `cbor:"6,keyasint,omitempty"`
	// Removed holds, by key, the queues that the catalog has no more and that jobs
	// used when it was last replaced. They apply to these jobs as last known.
	Removed map[string]catalog.Queue `cbor:"7,keyasint,omitempty"`
	// Format is the newest format of commands that may be proposed.
	Format int `cbor:"8,keyasint,omitempty"`
	// Buckets holds, by account, the token buckets of the accounts that have submitted
	// jobs.
	Buckets map[string]rateBucket `cbor:"9,keyasint,omitempty"`
}

// LeftWorker is an incarnation of a worker that has announced its end or was lost,
// and was removed, at a time on the state's clock in milliseconds.
type LeftWorker struct {
	Incarnation int64 `cbor:"1,keyasint"`
	AtMS        int64 `cbor:"2,keyasint"`
	// Lost is set if the incarnation was lost. It may be alive, and registers
	// again by a heartbeat after the one numbered Sequence.
	Lost     bool  `cbor:"3,keyasint,omitempty"`
	Sequence int64 `cbor:"4,keyasint,omitempty"`
	// Restarted and FirstClockMS are those of its last registration.
	Restarted    bool  `cbor:"5,keyasint,omitempty"`
	FirstClockMS int64 `cbor:"6,keyasint,omitempty"`
}

// covers reports whether a registration is from before the removal. That of a lower
// incarnation may be of a worker that has restarted with an earlier clock.
func (l *LeftWorker) covers(w *Worker) bool {
	if l.Lost {
		return w.Incarnation == l.Incarnation && w.Sequence <= l.Sequence
	}
	return w.Incarnation <= l.Incarnation
}

func emptyData() data {
	return data{Jobs: map[string]*Job{}, Workers: map[string]*Worker{}, Waves: map[int64]*Wave{}, Left: map[string]LeftWorker{}}
}
