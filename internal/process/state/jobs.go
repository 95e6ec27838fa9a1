package state

import (
	"cmp"
	"reflect"
	"slices"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
)

const (
	// MaxJobsPerCommand is the maximum number of jobs in one submission.
	MaxJobsPerCommand = 1000
	// MaxPayloadBytes is the maximum size of a job's payload.
	MaxPayloadBytes = 16 << 10
	// maxAttempts is the number of failed attempts after which a job has
	// failed.
	maxAttempts = 3
	// maxLostUnreported is the number of attempts lost in a row, none of which
	// its worker has reported on, after which a job has failed: it may be the job
	// that ends its workers.
	maxLostUnreported = 5
	// maxEndedJobs is the number of ended jobs that are kept.
	maxEndedJobs = 20000
)

// JobSpec describes a job as submitted.
type JobSpec struct {
	// ID is unique in the deployment. It is chosen by the submitter, so that a
	// submission can be repeated without adding the job twice.
	ID       string          `cbor:"1,keyasint" json:"id"`
	Team     string          `cbor:"2,keyasint" json:"team"`
	Kind     string          `cbor:"3,keyasint" json:"kind"`
	Urgent   bool            `cbor:"4,keyasint" json:"urgent,omitempty"`
	Declared fleet.Resources `cbor:"5,keyasint" json:"declared"`
	Pools    []string        `cbor:"6,keyasint,omitempty" json:"pools,omitempty"`
	// Payload is passed to the task unchanged.
	Payload string `cbor:"7,keyasint,omitempty" json:"payload,omitempty"`
}

// Job is a job with the state of its execution.
type Job struct {
	Spec  JobSpec       `cbor:"1,keyasint" json:"spec"`
	Phase jobplan.Phase `cbor:"2,keyasint" json:"phase"`
	// Epoch is the fencing token of the newest attempt.
	Epoch       uint64          `cbor:"3,keyasint" json:"epoch"`
	Worker      string          `cbor:"4,keyasint,omitempty" json:"worker,omitempty"`
	Reserved    fleet.Resources `cbor:"5,keyasint" json:"held"`
	Used        fleet.Resources `cbor:"6,keyasint" json:"used"`
	SubmittedMS int64           `cbor:"7,keyasint" json:"submitted_ms"`
	StartedMS   int64           `cbor:"8,keyasint" json:"started_ms,omitempty"`
	EndedMS     int64           `cbor:"9,keyasint" json:"ended_ms,omitempty"`
	Order       jobplan.Order   `cbor:"10,keyasint,omitempty" json:"order,omitempty"`
	OrderMS     int64           `cbor:"11,keyasint,omitempty" json:"order_ms,omitempty"`
	// Checkpointed is true if a checkpoint exists from which the next attempt
	// can resume. It may have been saved by an earlier attempt. The loss of an
	// attempt clears it.
	Checkpointed bool `cbor:"12,keyasint,omitempty" json:"checkpointed,omitempty"`
	// Cancelling is true if the job will end as cancelled when its task stops.
	Cancelling bool     `cbor:"13,keyasint,omitempty" json:"cancelling,omitempty"`
	Avoid      []string `cbor:"14,keyasint,omitempty" json:"avoid,omitempty"`
	// Failures counts the failed attempts, Preempted the stopped ones and Lost
	// those whose lease expired.
	Failures  int `cbor:"15,keyasint" json:"failures"`
	Preempted int `cbor:"16,keyasint" json:"preempted"`
	Lost      int `cbor:"17,keyasint" json:"lost"`
	// LostUnreported counts the lost attempts in a row of which the worker has
	// reported nothing.
	LostUnreported int `cbor:"19,keyasint,omitempty" json:"lost_unreported,omitempty"`
	// Succeeded is true if an earlier attempt than the running one has succeeded.
	// The job will end as done when the running one ends.
	Succeeded bool `cbor:"20,keyasint,omitempty" json:"succeeded,omitempty"`
	// Reason explains why the job is waiting, is being preempted, has failed
	// or was cancelled.
	Reason string `cbor:"18,keyasint,omitempty" json:"reason,omitempty"`
}

// jobState is the part of the replicated state that concerns jobs.
type jobState struct {
	Jobs map[string]*Job `cbor:"1,keyasint"`
	// Observed holds the use of finished jobs, by jobplan.KindKey.
	Observed map[string][]jobplan.Observation `cbor:"2,keyasint"`
	Workers  map[string]*jobplan.WorkerRecord `cbor:"3,keyasint"`
	// Ended lists the ended jobs, oldest first.
	Ended []string `cbor:"4,keyasint"`
	// active holds the jobs that have not ended. It is derived from Jobs.
	active map[string]*Job
	// onWorker holds the running jobs of each worker. It is derived from Jobs.
	onWorker map[string]map[string]*Job
}

func newJobState() jobState {
	return jobState{
		Jobs: map[string]*Job{}, Observed: map[string][]jobplan.Observation{}, Workers: map[string]*jobplan.WorkerRecord{},
		active: map[string]*Job{}, onWorker: map[string]map[string]*Job{},
	}
}

// rebuildIndexes rebuilds active and onWorker after a restore.
func (s *jobState) rebuildIndexes() {
	s.active = map[string]*Job{}
	s.onWorker = map[string]map[string]*Job{}
	for id, job := range s.Jobs {
		if !job.Phase.Final() {
			s.active[id] = job
		}
		if job.Phase == jobplan.Running {
			s.attach(job)
		}
	}
}

// attach adds a running job to its worker.
func (s *jobState) attach(job *Job) {
	if s.onWorker[job.Worker] == nil {
		s.onWorker[job.Worker] = map[string]*Job{}
	}
	s.onWorker[job.Worker][job.Spec.ID] = job
}

// detach removes a job from its worker and clears its worker, reservation, use
// and order.
func (s *jobState) detach(job *Job) {
	delete(s.onWorker[job.Worker], job.Spec.ID)
	if len(s.onWorker[job.Worker]) == 0 {
		delete(s.onWorker, job.Worker)
	}
	job.Worker = ""
	job.Reserved = fleet.Resources{}
	job.Used = fleet.Resources{}
	job.Order = jobplan.NoOrder
	job.OrderMS = 0
}

// JobSubmission is the body of a SubmitJobs command. It is accepted or refused
// as a whole.
type JobSubmission struct {
	Jobs []JobSpec `cbor:"1,keyasint" json:"jobs"`
	By   string    `cbor:"2,keyasint" json:"-"`
}

// JobSubmissionAnswer is the result body of a SubmitJobs command. Repeated
// counts the jobs that had already been accepted with the same content.
type JobSubmissionAnswer struct {
	Added    int `cbor:"1,keyasint" json:"added"`
	Repeated int `cbor:"2,keyasint" json:"repeated"`
}

func applySubmitJobs(m *Machine, pos position, submission JobSubmission) Result {
	s := &m.data.Jobs
	if len(submission.Jobs) > MaxJobsPerCommand {
		return refuse(Refused, "found %d jobs, expected at most %d", len(submission.Jobs), MaxJobsPerCommand)
	}
	for _, spec := range submission.Jobs {
		if refusal, refused := m.checkSpec(spec); refused {
			return refusal
		}
	}
	var answer JobSubmissionAnswer
	for _, spec := range submission.Jobs {
		if _, known := s.Jobs[spec.ID]; known {
			answer.Repeated++
			continue
		}
		job := &Job{Spec: spec, Phase: jobplan.Queued, SubmittedMS: pos.atMS}
		s.Jobs[spec.ID] = job
		s.active[spec.ID] = job
		answer.Added++
	}
	return okResult(answer)
}

func (m *Machine) checkSpec(spec JobSpec) (Result, bool) {
	if spec.ID == "" || len(spec.ID) > 128 || spec.Kind == "" || len(spec.Kind) > 64 {
		return refuse(Refused, "job %q: expected an id of 1 to 128 bytes and a kind of 1 to 64", spec.ID), true
	}
	if len(spec.Payload) > MaxPayloadBytes {
		return refuse(Refused, "job %q: payload has %d bytes, expected at most %d", spec.ID, len(spec.Payload), MaxPayloadBytes), true
	}
	d := spec.Declared
	if d.CPUCores < 0 || d.MemoryGiB < 0 || d.Accelerators < 0 || d == (fleet.Resources{}) {
		return refuse(Refused, "job %q: expected a declared size above 0", spec.ID), true
	}
	if !m.data.Fleet.hasTeam(spec.Team) {
		return refuse(NotFound, "job %q: team %q is not declared", spec.ID, spec.Team), true
	}
	if known, ok := m.data.Jobs.Jobs[spec.ID]; ok && !reflect.DeepEqual(known.Spec, spec) {
		return refuse(Conflict, "job %q was accepted with other content", spec.ID), true
	}
	return Result{}, false
}

func (f *Fleet) hasTeam(name string) bool {
	return f.Document != nil && slices.ContainsFunc(f.Document.Teams, func(t fleet.Team) bool { return t.Name == name })
}

// end moves a job to a final phase and removes the oldest ended jobs above
// maxEndedJobs.
func (s *jobState) end(pos position, job *Job, phase jobplan.Phase) {
	job.Phase = phase
	job.EndedMS = pos.atMS
	delete(s.active, job.Spec.ID)
	s.Ended = append(s.Ended, job.Spec.ID)
	for len(s.Ended) > maxEndedJobs {
		delete(s.Jobs, s.Ended[0])
		s.Ended = s.Ended[1:]
	}
}

// JobView returns a copy of the job with the given ID.
func (m *Machine) JobView(id string) (Job, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	job, known := m.data.Jobs.Jobs[id]
	if !known {
		return Job{}, false
	}
	return *job, true
}

// ActiveJobs returns copies of the jobs that have not ended, sorted by ID.
func (m *Machine) ActiveJobs() []Job {
	m.mu.RLock()
	defer m.mu.RUnlock()
	jobs := make([]Job, 0, len(m.data.Jobs.active))
	for _, job := range m.data.Jobs.active {
		jobs = append(jobs, *job)
	}
	slices.SortFunc(jobs, func(a, b Job) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	return jobs
}
