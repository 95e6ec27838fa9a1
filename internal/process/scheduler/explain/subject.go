package explain

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/access"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Query asks about a call.
type Query struct {
	Host, Path string
	// Key is the digest of the caller's API key, or nil.
	Key *catalog.KeyDigest
	// Spec is the job that would be submitted, or nil.
	Spec *workload.Spec
}

// Subject is what a state says of a query. It shares no memory that a command changes.
type Subject struct {
	CatalogVersion int64
	// Queue is nil if none matches and the job is not known, Account if the caller has none.
	Queue   *catalog.Queue
	Account *catalog.Account
	Denied  access.Reason
	// ID is that of a known job, or the part of the path after the queue's prefix. Malformed
	// is set if no job may have it.
	ID        string
	Malformed bool
	// IDInUse is set if a job at another location has the ID.
	IDInUse bool
	// OverRate is set if a job submitted now would exceed the account's rate, and Use is
	// what the account has executing according to the state.
	OverRate bool
	Use      workload.Resources
	// Known is nil unless the state has the job with the ID.
	Known *KnownJob
	// Spec is the job that would be submitted; nil if none was given or the job is known.
	Spec *workload.Spec
}

// KnownJob is a job that the state has.
type KnownJob struct {
	Outcome workstate.Outcome
	Started bool
	// Age is the time since the job was accepted.
	Age      time.Duration
	OverRate bool
	// Steps describes the steps of the first occurrence that is not done.
	Steps []KnownStep
}

// KnownStep is the progress of a step of a known job.
type KnownStep struct {
	Tasks, Done int
	DependsOn   []int
	// Executing counts the executing tasks by worker.
	Executing map[string]int
}

// Examine looks a query up in a state at a time in milliseconds of Unix time. A caller
// that is refused learns nothing beyond the reason and the queue.
func Examine(v *workstate.View, q Query, nowMS int64) Subject {
	decision := v.Access().Queue(q.Host, q.Path, q.Key)
	s := Subject{CatalogVersion: v.Catalog().Version, Denied: decision.Reason, ID: decision.Rest}
	queue := decision.Queue
	job := v.JobAt(q.Host, q.Path)
	if job != nil {
		s.Denied = v.JobAccess(q.Host, q.Path, q.Key)
	}
	if job != nil && s.Denied == access.Allowed {
		// The job's queue may have been removed, or be covered by one with a longer prefix.
		s.ID, queue = job.ID, v.Queue(job.Queue)
	}
	if queue != nil {
		copied := *queue
		s.Queue = &copied
	}
	if s.Denied != access.Allowed {
		return s
	}
	if decision.Account != nil {
		account := *decision.Account
		s.Account, s.OverRate, s.Use = &account, v.ExceedsRate(&account), v.AccountUse()[account.Name]
	}
	if job == nil {
		s.IDInUse = v.Job(s.ID) != nil
		s.Spec = q.Spec
		return s
	}
	s.Known = describeJob(job, nowMS)
	return s
}

// describeJob describes a job of the state. What is done of a job that has ended without
// success is not known any more, and its steps are left out.
func describeJob(job *workstate.Job, nowMS int64) *KnownJob {
	known := &KnownJob{Outcome: job.Outcome, Started: job.Started, OverRate: job.OverRate, Age: time.Duration(nowMS-job.AcceptedMS) * time.Millisecond}
	// The state drops the progress of jobs that have ended.
	dropped := job.Started && job.Occurrences == nil
	if dropped && job.Outcome != workstate.Succeeded {
		return known
	}
	for i := range job.Spec.Steps {
		step := KnownStep{Tasks: job.Spec.Steps[i].Count, DependsOn: job.Spec.Steps[i].DependsOn, Executing: map[string]int{}}
		if dropped {
			step.Done = step.Tasks
		}
		known.Steps = append(known.Steps, step)
	}
	if k := min(job.OccurrencesDone, len(job.Occurrences)-1); k >= 0 {
		for i := range job.Occurrences[k].Steps {
			known.Steps[i].Done = job.Occurrences[k].Steps[i].Done
		}
	}
	job.EachExecuting(func(id workload.TaskID, task *workstate.Task) { known.Steps[id.Step].Executing[task.Worker]++ })
	return known
}

// Candidate returns the job that the state would have if the query's job was accepted
// now, or nil if it has none or its first occurrence is due later.
func (s *Subject) Candidate(nowMS int64) *workstate.Job {
	if s.Spec == nil || s.Queue == nil || s.Malformed || s.Spec.DueMS(0) > nowMS {
		return nil
	}
	return &workstate.Job{
		ID: s.ID, Queue: s.Queue.Key(), Service: s.Queue.Service, Spec: *s.Spec, AcceptedMS: nowMS,
		Account: s.AccountName(), OverRate: s.OverRate,
	}
}

// AccountName returns the name of the caller's account, or "".
func (s *Subject) AccountName() string {
	if s.Account == nil {
		return ""
	}
	return s.Account.Name
}
