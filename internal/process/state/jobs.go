package state

import (
	"cmp"
	"reflect"
	"slices"
	"sort"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
	"arbutusward.example/arbutusward/internal/version/view"
)

const (
	// MaxJobsPerCommand bounds one submission.
	MaxJobsPerCommand = 1000
	// MaxPayloadBytes bounds what a job carries for its task.
	MaxPayloadBytes = 16 << 10
	// maxAttempts is the number of failures after which a job has failed.
	maxAttempts = 3
	// maxEndedJobs bounds the ended jobs that are remembered.
	maxEndedJobs = 20000
)

// JobSpec is a job as submitted.
type JobSpec struct {
	// ID is unique in the deployment; the submitter chooses it, so that a
	// submission can be sent again.
	ID       string          `cbor:"1,keyasint" json:"id"`
	Team     string          `cbor:"2,keyasint" json:"team"`
	Kind     string          `cbor:"3,keyasint" json:"kind"`
	Urgent   bool            `cbor:"4,keyasint" json:"urgent,omitempty"`
	Declared fleet.Resources `cbor:"5,keyasint" json:"declared"`
	Pools    []string        `cbor:"6,keyasint,omitempty" json:"pools,omitempty"`
	// Payload is handed to the task as it is.
	Payload string `cbor:"7,keyasint,omitempty" json:"payload,omitempty"`
}

// Job is a job with its progress.
type Job struct {
	Spec  JobSpec       `cbor:"1,keyasint" json:"spec"`
	Phase jobplan.Phase `cbor:"2,keyasint" json:"phase"`
	// Epoch is the fencing number of the newest attempt.
	Epoch       uint64          `cbor:"3,keyasint" json:"epoch"`
	Worker      string          `cbor:"4,keyasint,omitempty" json:"worker,omitempty"`
	Held        fleet.Resources `cbor:"5,keyasint" json:"held"`
	Used        fleet.Resources `cbor:"6,keyasint" json:"used"`
	SubmittedMS int64           `cbor:"7,keyasint" json:"submitted_ms"`
	StartedMS   int64           `cbor:"8,keyasint" json:"started_ms,omitempty"`
	EndedMS     int64           `cbor:"9,keyasint" json:"ended_ms,omitempty"`
	Order       jobplan.Order   `cbor:"10,keyasint,omitempty" json:"order,omitempty"`
	OrderMS     int64           `cbor:"11,keyasint,omitempty" json:"order_ms,omitempty"`
	// Checkpointed says that the newest attempt has saved its work.
	Checkpointed bool `cbor:"12,keyasint,omitempty" json:"checkpointed,omitempty"`
	// Cancelling says that the job ends as cancelled once its task stopped.
	Cancelling bool     `cbor:"13,keyasint,omitempty" json:"cancelling,omitempty"`
	Avoid      []string `cbor:"14,keyasint,omitempty" json:"avoid,omitempty"`
	// Failures counts failed attempts, Preempted and Lost the others.
	Failures  int `cbor:"15,keyasint" json:"failures"`
	Preempted int `cbor:"16,keyasint" json:"preempted"`
	Lost      int `cbor:"17,keyasint" json:"lost"`
	// Reason says why the job waits, failed or was cancelled.
	Reason string `cbor:"18,keyasint,omitempty" json:"reason,omitempty"`
}

// jobState is the part of the state that holds jobs.
type jobState struct {
	Jobs map[string]*Job `cbor:"1,keyasint"`
	// Observed holds what ended jobs used, by jobplan.KindKey.
	Observed map[string][]jobplan.Observation `cbor:"2,keyasint"`
	Workers  map[string]*jobplan.WorkerRecord `cbor:"3,keyasint"`
	// Ended lists the ended jobs, oldest first.
	Ended []string `cbor:"4,keyasint"`
	// active holds the jobs that have not ended; it is derived.
	active map[string]*Job
	// onWorker holds the running jobs of each worker; it is derived.
	onWorker map[string]map[string]*Job
}

func newJobState() jobState {
	return jobState{
		Jobs: map[string]*Job{}, Observed: map[string][]jobplan.Observation{}, Workers: map[string]*jobplan.WorkerRecord{},
		active: map[string]*Job{}, onWorker: map[string]map[string]*Job{},
	}
}

// derive rebuilds the derived parts after a restore.
func (s *jobState) derive() {
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

func (s *jobState) attach(job *Job) {
	if s.onWorker[job.Worker] == nil {
		s.onWorker[job.Worker] = map[string]*Job{}
	}
	s.onWorker[job.Worker][job.Spec.ID] = job
}

func (s *jobState) detach(job *Job) {
	delete(s.onWorker[job.Worker], job.Spec.ID)
	if len(s.onWorker[job.Worker]) == 0 {
		delete(s.onWorker, job.Worker)
	}
	job.Worker = ""
	job.Held = fleet.Resources{}
	job.Used = fleet.Resources{}
	job.Order = jobplan.NoOrder
	job.OrderMS = 0
}

// JobSubmission is the body of a SubmitJobs command; it is accepted or
// refused as a whole.
type JobSubmission struct {
	Jobs []JobSpec `cbor:"1,keyasint" json:"jobs"`
	By   string    `cbor:"2,keyasint" json:"-"`
}

// JobSubmissionAnswer counts what a submission added; jobs that were
// accepted before with the same content are repeated, not added.
type JobSubmissionAnswer struct {
	Added    int `cbor:"1,keyasint" json:"added"`
	Repeated int `cbor:"2,keyasint" json:"repeated"`
}

func applySubmitJobs(m *Machine, p position, submission JobSubmission) Result {
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
		job := &Job{Spec: spec, Phase: jobplan.Queued, SubmittedMS: p.atMS}
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

// JobSteps is the body of a StepJobs command: a plan that is checked step
// by step against the state as it is now.
type JobSteps struct {
	Placements  []JobPlacement    `cbor:"1,keyasint"`
	Preemptions []JobOrder        `cbor:"2,keyasint"`
	Blocked     []jobplan.Blocked `cbor:"3,keyasint"`
}

// JobPlacement starts the next attempt of a queued job.
type JobPlacement struct {
	Job string `cbor:"1,keyasint"`
	// Epoch is the job's epoch as the planner saw it.
	Epoch  uint64          `cbor:"2,keyasint"`
	Worker string          `cbor:"3,keyasint"`
	Hold   fleet.Resources `cbor:"4,keyasint"`
}

// JobOrder orders the running attempt of a job.
type JobOrder struct {
	Job    string        `cbor:"1,keyasint"`
	Epoch  uint64        `cbor:"2,keyasint"`
	Order  jobplan.Order `cbor:"3,keyasint"`
	Reason string        `cbor:"4,keyasint"`
}

// JobStepsAnswer lists the steps that the newer state refused.
type JobStepsAnswer struct {
	Placed  int      `cbor:"1,keyasint"`
	Ordered int      `cbor:"2,keyasint"`
	Refused []string `cbor:"3,keyasint,omitempty"`
}

func applyStepJobs(m *Machine, p position, steps JobSteps) Result {
	var answer JobStepsAnswer
	for _, order := range steps.Preemptions {
		if m.data.Jobs.applyOrder(p, order) {
			answer.Ordered++
		}
	}
	for _, placement := range steps.Placements {
		if reason := m.placeJob(p, placement); reason != "" {
			answer.Refused = append(answer.Refused, placement.Job+": "+reason)
			continue
		}
		answer.Placed++
	}
	for _, blocked := range steps.Blocked {
		if job := m.data.Jobs.active[blocked.Job]; job != nil && job.Phase == jobplan.Queued {
			job.Reason = blocked.Reason
		}
	}
	return okResult(answer)
}

func (s *jobState) applyOrder(p position, order JobOrder) bool {
	job := s.active[order.Job]
	if job == nil || job.Phase != jobplan.Running || job.Epoch != order.Epoch {
		return false
	}
	job.Order = order.Order
	job.OrderMS = p.atMS
	job.Reason = order.Reason
	return true
}

// placeJob starts an attempt, or returns why the state does not allow it.
func (m *Machine) placeJob(p position, placement JobPlacement) string {
	s := &m.data.Jobs
	job := s.active[placement.Job]
	if job == nil || job.Phase != jobplan.Queued || job.Epoch != placement.Epoch {
		return "the job moved on"
	}
	vm, known := m.data.Fleet.VMs[placement.Worker]
	if !known || vm.Phase != view.Serving {
		return "worker " + placement.Worker + " takes no tasks"
	}
	if !jobplan.Fits(placement.Hold, jobplan.Sub(m.jobCapacity(vm), s.heldOn(placement.Worker))) {
		return "worker " + placement.Worker + " has no room"
	}
	if !jobplan.Fits(jobplan.Add(s.heldBy(job.Spec.Team), placement.Hold), m.quotas()[job.Spec.Team]) {
		return "the quota of team " + job.Spec.Team + " is used up"
	}
	job.Phase = jobplan.Running
	job.Epoch++
	job.Worker = placement.Worker
	job.Held = placement.Hold
	job.StartedMS = p.atMS
	job.Reason = ""
	s.attach(job)
	return ""
}

// jobCapacity is what jobs may hold together on a VM.
func (m *Machine) jobCapacity(vm OwnedVM) fleet.Resources {
	size, declared := m.data.Fleet.sizes[vm.Name]
	if !declared {
		return fleet.Resources{}
	}
	share := m.data.Fleet.jobShare(vm.Pool)
	if share == 0 {
		return fleet.Resources{}
	}
	return fleet.Resources{CPUCores: share * float64(size.CPUCores), MemoryGiB: share * float64(size.MemoryGiB), Accelerators: size.Accelerators}
}

func (f *Fleet) jobShare(pool string) float64 {
	for _, declared := range f.Document.Pools {
		if declared.Name == pool {
			return declared.JobShare
		}
	}
	return 0
}

func (m *Machine) quotas() map[string]fleet.Resources {
	quotas := map[string]fleet.Resources{}
	if m.data.Fleet.Document == nil {
		return quotas
	}
	for _, team := range m.data.Fleet.Document.Teams {
		quotas[team.Name] = team.Quota
	}
	return quotas
}

// checkIdle refuses what would end a VM's tasks.
func (s *jobState) checkIdle(vm string) (Result, bool) {
	if count := len(s.onWorker[vm]); count > 0 {
		return refuse(Refused, "VM %q still runs %d tasks", vm, count), true
	}
	return Result{}, false
}

func (s *jobState) heldOn(worker string) fleet.Resources {
	var held fleet.Resources
	for _, job := range s.onWorker[worker] {
		held = jobplan.Add(held, job.Held)
	}
	return held
}

func (s *jobState) heldBy(team string) fleet.Resources {
	var held fleet.Resources
	for _, jobs := range s.onWorker {
		for _, job := range jobs {
			if job.Spec.Team == team {
				held = jobplan.Add(held, job.Held)
			}
		}
	}
	return held
}

// JobCancellation is the body of a CancelJobs command. Empty selectors
// match nothing; a team with an empty kind matches all kinds of the team.
type JobCancellation struct {
	IDs  []string `cbor:"1,keyasint,omitempty" json:"ids,omitempty"`
	Team string   `cbor:"2,keyasint,omitempty" json:"team,omitempty"`
	Kind string   `cbor:"3,keyasint,omitempty" json:"kind,omitempty"`
	By   string   `cbor:"4,keyasint" json:"-"`
}

// JobCancellationAnswer counts what a cancellation met.
type JobCancellationAnswer struct {
	// Cancelled jobs had not started. Stopping ones end once their task stopped.
	Cancelled int `cbor:"1,keyasint" json:"cancelled"`
	Stopping  int `cbor:"2,keyasint" json:"stopping"`
}

func applyCancelJobs(m *Machine, p position, c JobCancellation) Result {
	s := &m.data.Jobs
	var answer JobCancellationAnswer
	for _, job := range s.selected(c) {
		job.Reason = "cancelled by " + c.By
		if job.Phase == jobplan.Queued {
			s.end(p, job, jobplan.Cancelled)
			answer.Cancelled++
			continue
		}
		job.Cancelling = true
		job.Order = jobplan.Stop
		job.OrderMS = p.atMS
		answer.Stopping++
	}
	return okResult(answer)
}

// selected returns the active jobs of a cancellation, ordered by ID. It is
// linear in the IDs, or in the active jobs for a team.
func (s *jobState) selected(c JobCancellation) []*Job {
	var found []*Job
	for _, id := range c.IDs {
		if job := s.active[id]; job != nil {
			found = append(found, job)
		}
	}
	if c.Team != "" {
		for _, job := range s.active {
			if job.Spec.Team == c.Team && (c.Kind == "" || job.Spec.Kind == c.Kind) {
				found = append(found, job)
			}
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Spec.ID < found[j].Spec.ID })
	return slices.Compact(found)
}

// end gives a job its final phase and forgets the oldest ended ones.
func (s *jobState) end(p position, job *Job, phase jobplan.Phase) {
	job.Phase = phase
	job.EndedMS = p.atMS
	delete(s.active, job.Spec.ID)
	s.Ended = append(s.Ended, job.Spec.ID)
	for len(s.Ended) > maxEndedJobs {
		delete(s.Jobs, s.Ended[0])
		s.Ended = s.Ended[1:]
	}
}

// JobView returns a copy of a job.
func (m *Machine) JobView(id string) (Job, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	job, known := m.data.Jobs.Jobs[id]
	if !known {
		return Job{}, false
	}
	return *job, true
}

// ActiveJobs returns copies of the jobs that have not ended, by ID.
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
